#ifndef QUETZALLEAD_SERVICESPEC_H
#define QUETZALLEAD_SERVICESPEC_H

#include "quetzallead/NameTable.h"
#include "quetzallead/Priority.h"
#include "quetzallead/ShardSpec.h"
#include "quetzallead/Time.h"
#include <cstdint>
#include <string>
#include <vector>

namespace quetzallead {

/// When a second attempt of an idempotent sub-request is sent beside the first.
enum class HedgePolicy {
  None,    ///< Never.
  Fixed,   ///< After HedgeDelay.
  Learned, ///< After a high quantile of the service's own latencies.
};

inline constexpr NamedValue<HedgePolicy> HedgePolicyNames[] = {
    {HedgePolicy::None, "none"},
    {HedgePolicy::Fixed, "fixed"},
    {HedgePolicy::Learned, "learned"},
};

/// Requests that a service accepts.
struct RequestRules {
  bool Surveys = true;
  bool Lookups = true;
  /// Commands run at most once and are never repeated.
  bool Commands = false;
};

/// What the sheet states of one service.
struct ServiceSpec {
  std::string Name;
  /// Partition epoch; grows whenever the division into shards changes.
  std::uint64_t Epoch = 1;
  /// Priority of requests that name none.
  Priority DefaultPriority = Priority::Ordinary;
  RequestRules Rules;
  /// Longest time to an answer for requests that name none.
  Duration Timeout = absl::Milliseconds(500);
  /// Share of the wanted shards, 0 to 1, at which a survey may be answered
  /// once CoverageWait has passed.
  double LeastCoverage = 1.0;
  /// Time a survey waits for full coverage before LeastCoverage suffices.
  Duration CoverageWait = absl::Milliseconds(500);
  HedgePolicy Hedge = HedgePolicy::Learned;
  /// Delay of the Fixed hedge policy, and of Learned before it has samples.
  Duration HedgeDelay = absl::Milliseconds(20);
  /// Shards in key order; they tile the whole key space.
  std::vector<ShardSpec> Shards;
};

inline bool operator==(const RequestRules &A, const RequestRules &B) {
  return A.Surveys == B.Surveys && A.Lookups == B.Lookups &&
         A.Commands == B.Commands;
}

inline bool operator==(const ServiceSpec &A, const ServiceSpec &B) {
  return A.Name == B.Name && A.Epoch == B.Epoch &&
         A.DefaultPriority == B.DefaultPriority && A.Rules == B.Rules &&
         A.Timeout == B.Timeout && A.LeastCoverage == B.LeastCoverage &&
         A.CoverageWait == B.CoverageWait && A.Hedge == B.Hedge &&
         A.HedgeDelay == B.HedgeDelay && A.Shards == B.Shards;
}

} // namespace quetzallead

#endif // QUETZALLEAD_SERVICESPEC_H
