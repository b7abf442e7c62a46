#include "relay/GracefulStop.h"
#include <algorithm>

namespace quetzallead {

/// Interval at which the progress of a shutdown is checked.
static constexpr Duration PollInterval = absl::Milliseconds(50);

GracefulStop::GracefulStop(LoopTimers &GivenTimers) : Timers(GivenTimers) {}

void GracefulStop::begin(Duration GracePeriod) {
  Plan = planStop(LoopTimers::now(), GracePeriod);
  advance();
}

void GracefulStop::advance() {
  const TimePoint Now = LoopTimers::now();
  const bool ClosesIdle = Now >= Plan.CloseIdleTime;
  if (ClosesIdle)
    CloseIdle();
  if (Now >= Plan.LastResponseTime)
    AnswerRequests();
  if ((ClosesIdle && IsDrained()) || Now >= Plan.ExitTime) {
    Exit();
    return;
  }
  TimePoint Next = Now + PollInterval;
  for (TimePoint Step : {Plan.LastResponseTime, Plan.ExitTime})
    if (Step > Now)
      Next = std::min(Next, Step);
  Timer = Timers.at(Next, [this](TimePoint) { advance(); });
}

} // namespace quetzallead
