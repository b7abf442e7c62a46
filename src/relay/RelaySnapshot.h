#ifndef QUETZALLEAD_RELAY_RELAYSNAPSHOT_H
#define QUETZALLEAD_RELAY_RELAYSNAPSHOT_H

#include "core/relay/ServiceSnapshot.h"
#include "quetzallead/Time.h"
#include <cstdint>
#include <map>
#include <string>

namespace quetzallead {

/// The state of a relay at one moment, exported as gauges.
struct RelaySnapshot {
  bool Ready = false;
  std::uint64_t SheetVersion = 0;
  /// Time since the store last answered a request for the sheet or the servers;
  /// infinite if it never did.
  Duration SheetAge = absl::InfiniteDuration();
  Duration ServersAge = absl::InfiniteDuration();
  int Instances = 0;
  std::size_t CallerConnections = 0;
  std::size_t RequestsInFlight = 0;
  /// MemoryGuard::heldBytes().
  std::size_t HeldBytes = 0;
  /// Contents of requests that are blocked.
  std::size_t BlockedRequests = 0;
  std::size_t EvacuatedZones = 0;
  std::map<std::string, ServiceSnapshot> Services;
};

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_RELAYSNAPSHOT_H
