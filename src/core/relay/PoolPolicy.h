#ifndef QUETZALLEAD_CORE_RELAY_POOLPOLICY_H
#define QUETZALLEAD_CORE_RELAY_POOLPOLICY_H

#include "quetzallead/NameTable.h"

namespace quetzallead {

/// Who of the waiting attempts of one rank goes first. Those that can no
/// longer be in time go behind all others, whatever the order.
enum class QueueOrder {
  OldestFirst,
  NewestFirst,
  LeastSlackFirst, ///< The one that must be answered soonest.
};

inline constexpr NamedValue<QueueOrder> QueueOrderNames[] = {
    {QueueOrder::OldestFirst, "oldest_first"},
    {QueueOrder::NewestFirst, "newest_first"},
    {QueueOrder::LeastSlackFirst, "least_slack_first"},
};

/// What a BackendPool decides by.
struct PoolPolicy {
  /// Part of a request's objective that a server of the own zone may take
  /// longer than one of another: bytes between zones cost, and an instance that
  /// keeps to few servers meets their pauses sooner.
  double OwnZoneShare = 0.35;
  /// Part of a request's objective that a certain loss of its answer costs,
  /// beside the time of a repeat: few attempts are allowed, and a part whose
  /// last one is lost is missing from the answer.
  double LossShare = 2;
  QueueOrder Order = QueueOrder::OldestFirst;
  /// A hedge is not sent to a server with this much ahead of it, in multiples
  /// of its slots: more work for one that has enough takes from others what it
  /// gives.
  double MostAheadOfHedge = 2;
  /// Requests that are turned away are told to return one after the other.
  bool SpreadReturns = true;
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_POOLPOLICY_H
