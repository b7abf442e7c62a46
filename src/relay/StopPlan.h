#ifndef QUETZALLEAD_RELAY_STOPPLAN_H
#define QUETZALLEAD_RELAY_STOPPLAN_H

#include "quetzallead/Time.h"

namespace quetzallead {

/// The steps of a planned stop. Infinite before the stop signal.
struct StopPlan {
  /// Unready, and every answer closes its connection.
  TimePoint Begun = absl::InfiniteFuture();
  /// The balancer sends no new connections any more: idle ones are closed, and
  /// the process may end once none is left.
  TimePoint CloseIdle = absl::InfiniteFuture();
  /// Requests that come later are refused, since they might not end in time.
  TimePoint RefuseNew = absl::InfiniteFuture();
  /// Requests in flight are answered with what is there.
  TimePoint LastAnswer = absl::InfiniteFuture();
  /// The process ends.
  TimePoint End = absl::InfiniteFuture();
};

/// The steps of a stop that begins at \p Now and must be over \p Grace later.
StopPlan planStop(TimePoint Now, Duration Grace);

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_STOPPLAN_H
