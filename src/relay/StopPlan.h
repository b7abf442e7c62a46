#ifndef QUETZALLEAD_RELAY_STOPPLAN_H
#define QUETZALLEAD_RELAY_STOPPLAN_H

#include "quetzallead/Time.h"

namespace quetzallead {

/// Times of the steps of a graceful shutdown. Infinite before the stop signal.
struct StopPlan {
  /// The instance reports unready, and every response closes its connection.
  TimePoint StartTime = absl::InfiniteFuture();
  /// The load balancer no longer opens connections. Idle connections are
  /// closed, and the process may exit once no connection is left.
  TimePoint CloseIdleTime = absl::InfiniteFuture();
  /// Later requests are rejected, since they might not complete in time.
  TimePoint RejectNewTime = absl::InfiniteFuture();
  /// Latest deadline of requests that are accepted during the shutdown: they
  /// are answered with the parts received by then.
  TimePoint LastResponseTime = absl::InfiniteFuture();
  /// The process exits.
  TimePoint ExitTime = absl::InfiniteFuture();
};

/// Whether a request that arrives at \p Now, and whose route usually takes
/// \p Expected, is likely to be answered in time.
bool canEndInTime(const StopPlan &Plan, TimePoint Now, Duration Expected);

/// Plans a shutdown that starts at \p Now and must complete within
/// \p GracePeriod.
StopPlan planStop(TimePoint Now, Duration GracePeriod);

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_STOPPLAN_H
