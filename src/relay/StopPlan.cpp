#include "relay/StopPlan.h"

namespace quetzallead {

// Fractions of the grace period. A load balancer that checks health once a
// second and tolerates one failure has removed the instance halfway through a
// grace period of a few seconds.
static constexpr double CloseIdleFraction = 0.5;
static constexpr double RejectNewFraction = 0.8;
static constexpr double LastResponseFraction = 0.92;
static constexpr double ExitFraction = 0.96;

StopPlan planStop(TimePoint Now, Duration GracePeriod) {
  StopPlan Plan;
  Plan.Begun = Now;
  Plan.CloseIdle = Now + GracePeriod * CloseIdleFraction;
  Plan.RefuseNew = Now + GracePeriod * RejectNewFraction;
  Plan.LastAnswer = Now + GracePeriod * LastResponseFraction;
  Plan.End = Now + GracePeriod * ExitFraction;
  return Plan;
}

} // namespace quetzallead
