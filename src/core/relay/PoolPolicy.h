#ifndef QUETZALLEAD_CORE_RELAY_POOLPOLICY_H
#define QUETZALLEAD_CORE_RELAY_POOLPOLICY_H

#include "quetzallead/NameTable.h"

namespace quetzallead {

/// Order in which queued attempts of the same rank are served. Attempts that
/// are already late are served after all others in any order.
enum class QueueOrder {
  OldestFirst,
  NewestFirst,
  EarliestDeadlineFirst, ///< Earliest AttemptPermitRequest::ObjectiveDeadline
                         ///< first.
};

inline constexpr NamedValue<QueueOrder> QueueOrderNames[] = {
    {QueueOrder::OldestFirst, "oldest_first"},
    {QueueOrder::NewestFirst, "newest_first"},
    {QueueOrder::EarliestDeadlineFirst, "least_slack_first"},
};

/// Server selection and queueing parameters of a BackendPool.
struct PoolPolicy {
  /// Score penalty of a server in another zone, as a share of the request's
  /// objective: traffic between zones costs money, and an instance that uses
  /// fewer servers detects their pauses sooner.
  double CrossZonePenalty = 0.35;
  /// Score penalty of a certain loss of the response, as a share of the
  /// request's objective, in addition to the time of a retry: the number of
  /// attempts is limited, and a part whose last attempt is lost is missing from
  /// the response.
  double LossPenalty = 2;
  /// Score penalty of a server that turns every attempt away, as a share of the
  /// request's objective: the attempt costs one of the route's servers and
  /// extra load.
  double ShedPenalty = 1;
  QueueOrder Order = QueueOrder::OldestFirst;
  /// Hedges are not sent to servers with at least this load, in requests per
  /// slot: a hedge at a loaded server delays other requests by as much as it
  /// gains.
  double MaxHedgeTargetLoad = 2;
  /// Spread the retry delays given to rejected requests, so that their retries
  /// arrive one after another.
  bool SpreadRetries = true;
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_POOLPOLICY_H
