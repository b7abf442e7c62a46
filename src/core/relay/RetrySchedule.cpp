#include "core/relay/RetrySchedule.h"
#include <algorithm>

namespace quetzallead {

Duration RetrySchedule::reserve(Duration Wait, Duration Interval,
                                Duration MaxDelay, TimePoint Now) {
  const TimePoint Earliest = Now + Wait;
  const TimePoint RetryAt = LastReserved == absl::InfinitePast()
                                ? Earliest
                                : std::max(Earliest, LastReserved + Interval);
  if (RetryAt - Now > MaxDelay)
    return Wait;
  LastReserved = RetryAt;
  return RetryAt - Now;
}

} // namespace quetzallead
