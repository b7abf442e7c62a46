#include "relay/StopPlan.h"

namespace quetzallead {

// Shares of the grace period. A balancer that asks once a second and forgives
// one miss has taken the instance out by the middle of a grace of some
// seconds.
static constexpr double CloseIdleShare = 0.5;
static constexpr double RefuseNewShare = 0.8;
static constexpr double LastAnswerShare = 0.92;
static constexpr double EndShare = 0.96;

StopPlan planStop(TimePoint Now, Duration Grace) {
  StopPlan Plan;
  Plan.Begun = Now;
  Plan.CloseIdle = Now + Grace * CloseIdleShare;
  Plan.RefuseNew = Now + Grace * RefuseNewShare;
  Plan.LastAnswer = Now + Grace * LastAnswerShare;
  Plan.End = Now + Grace * EndShare;
  return Plan;
}

} // namespace quetzallead
