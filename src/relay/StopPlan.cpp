#include "relay/StopPlan.h"

namespace quetzallead {

// Fractions of the grace period. A load balancer that checks health once a
// second and tolerates one failure has removed the instance halfway through a
// grace period of a few seconds.
static constexpr double CloseIdleFraction = 0.5;
static constexpr double RejectNewFraction = 0.8;
static constexpr double LastResponseFraction = 0.92;
static constexpr double ExitFraction = 0.96;
/// Multiple of the usual time that most requests take at most.
static constexpr double ExpectedTimeRatio = 1.25;

StopPlan planStop(TimePoint Now, Duration GracePeriod) {
  StopPlan Plan;
  Plan.StartTime = Now;
  Plan.CloseIdleTime = Now + GracePeriod * CloseIdleFraction;
  Plan.RejectNewTime = Now + GracePeriod * RejectNewFraction;
  Plan.LastResponseTime = Now + GracePeriod * LastResponseFraction;
  Plan.ExitTime = Now + GracePeriod * ExitFraction;
  return Plan;
}

bool canEndInTime(const StopPlan &Plan, TimePoint Now, Duration Expected) {
  return Now < Plan.RejectNewTime &&
         Now + Expected * ExpectedTimeRatio <= Plan.LastResponseTime;
}

} // namespace quetzallead
