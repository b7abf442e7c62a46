#ifndef QUETZALLEAD_DAEMON_SERVICEVIEW_H
#define QUETZALLEAD_DAEMON_SERVICEVIEW_H

#include "quetzallead/LatencyTracker.h"
#include "quetzallead/ReplicaSet.h"
#include "quetzallead/RetryBudget.h"
#include "quetzallead/ServiceSpec.h"
#include <memory>
#include <string>
#include <vector>

namespace quetzallead {

/// What one service learned over its life; outlives changes of the sheet.
struct ServiceStats {
  explicit ServiceStats(double ExtraLoadShare) : Budget(ExtraLoadShare) {}

  RetryBudget Budget;
  LatencyTracker Latencies;
};

/// One service as requests see it: immutable but for the beliefs within.
struct ServiceView {
  ServiceSpec Spec;
  /// One for each shard of Spec, in its order.
  std::vector<std::shared_ptr<ReplicaSet>> Shards;
  std::shared_ptr<ServiceStats> Stats;

  /// Index of the shard that holds \p Key.
  std::size_t shardOf(const std::string &Key) const;
  /// Index of the shard called \p Name; Shards.size() if there is none.
  std::size_t shardNamed(const std::string &Name) const;
};

} // namespace quetzallead

#endif // QUETZALLEAD_DAEMON_SERVICEVIEW_H
