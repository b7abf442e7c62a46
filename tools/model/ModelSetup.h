#ifndef QUETZALLEAD_TOOLS_MODEL_MODELSETUP_H
#define QUETZALLEAD_TOOLS_MODEL_MODELSETUP_H

#include "core/relay/RelayState.h"
#include "model/Disturbance.h"
#include "model/ModelRequestKind.h"
#include "quetzallead/Time.h"
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace quetzallead {

/// A fleet, its backend servers, its callers and what goes wrong.
struct ModelSetup {
  std::uint64_t Seed = 1;
  std::vector<std::string> Zones = {"a"};
  /// Instances, dealt to the zones in turn.
  int Instances = 1;
  /// Replicas of each shard, dealt to the zones in turn.
  std::vector<int> Replicas = std::vector<int>(10, 3);
  int Slots = 2;
  /// Requests that may wait at a server.
  std::size_t ServerQueue = 12;
  int ConnectionLimit = 40;
  /// Each server stands still this long, each so often, at its own time.
  Duration PauseLength = absl::ZeroDuration();
  Duration PausePeriod = absl::Seconds(3);
  /// One way, between zones.
  Duration ZoneDelay = absl::ZeroDuration();
  std::vector<ModelRequestKind> Kinds;
  double RequestsPerSecond = 100;
  Duration Length = absl::Seconds(10);
  std::vector<Disturbance> Disturbances;
  /// What the instances decide by; zone, seed and their number are the
  /// model's.
  RelayStateOptions Options;
};

/// A survey of ten shards of three replicas, with the limits of a street
/// survey: objective 100 ms, coverage 0.89, two attempts a shard.
ModelSetup surveySetup(std::uint64_t Seed);

/// Requests a second that all servers of one shard can work off.
double shardCapacity(const ModelSetup &Setup, std::size_t Shard);

} // namespace quetzallead

#endif // QUETZALLEAD_TOOLS_MODEL_MODELSETUP_H
