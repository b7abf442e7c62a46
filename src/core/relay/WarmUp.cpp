#include "core/relay/WarmUp.h"

namespace quetzallead {

/// Requests that all instances may save up, in seconds of the cap and as a
/// number. A cold server tolerates half of its cap and five requests above it
/// in one second; half of that covers instances that join.
static constexpr double BurstSeconds = 0.25;
static constexpr double BurstRequests = 2.5;

int maxColdSharers(double RatePerSecond) {
  return static_cast<int>(RatePerSecond * BurstSeconds + BurstRequests);
}

/// Puts the cap into force if the server is cold, and ends it otherwise.
static void updateCap(WarmUp &W, TimePoint Now) {
  if (!isCold(W, Now)) {
    W.Cap = ServerLimit();
    return;
  }
  if (isLimited(W.Cap) && W.Cap.PerSecond == W.RatePerSecond)
    return;
  W.Cap = ServerLimit();
  W.Cap.PerSecond = W.RatePerSecond;
  W.Cap.BurstSeconds = BurstSeconds;
  W.Cap.NamedAt = Now;
  W.Cap.CountedAt = Now;
}

void setWarmUpRate(WarmUp &W, double RatePerSecond, TimePoint Now) {
  // Until now nothing depended on whether the server is cold.
  if (W.RatePerSecond <= 0 && RatePerSecond > 0)
    W.Unconfirmed = true;
  W.RatePerSecond = RatePerSecond;
  updateCap(W, Now);
}

void noteWarmUpLeft(WarmUp &W, Duration Left, TimePoint Now) {
  W.Unconfirmed = false;
  W.ColdUntil = Left > absl::ZeroDuration() ? Now + Left : absl::InfinitePast();
  updateCap(W, Now);
}

void noteMayBeCold(WarmUp &W, TimePoint Now) {
  W.Unconfirmed = true;
  updateCap(W, Now);
}

} // namespace quetzallead
