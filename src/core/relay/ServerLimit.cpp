#include "core/relay/ServerLimit.h"
#include <algorithm>
#include <cmath>

namespace quetzallead {

/// Requests that all shares together may save up besides those of
/// ServerLimit::BurstSeconds. A server tolerates some more than its limit for a
/// short time.
static constexpr double BurstRequests = 2.5;
/// A response without a limit ends the limit only if none has named it for this
/// long: responses overtake each other.
static constexpr Duration LimitEndDelay = absl::Seconds(1);
/// Two limits that differ by less than this fraction count as the same.
static constexpr double LimitTolerance = 0.01;

static double bounded(double PerSecond) {
  return std::clamp(PerSecond, MinServerLimit, MaxServerLimit);
}

static double burst(const ServerLimit &Limit) {
  return bounded(Limit.PerSecond) * Limit.BurstSeconds + BurstRequests;
}

int maxLimitSharers(double PerSecond) {
  ServerLimit Limit;
  Limit.PerSecond = PerSecond;
  return static_cast<int>(burst(Limit));
}

bool nameLimit(ServerLimit &Limit, double PerSecond, const LimitShare &Share,
               TimePoint Now) {
  const double Bounded = bounded(PerSecond);
  const bool Changed =
      !isLimited(Limit) ||
      std::abs(Limit.PerSecond - Bounded) > Limit.PerSecond * LimitTolerance;
  Limit.Tokens = isLimited(Limit) ? limitTokens(Limit, Share, Now) : 0;
  Limit.CountedAt = Now;
  Limit.NamedAt = Now;
  Limit.PerSecond = Bounded;
  return Changed;
}

bool omitLimit(ServerLimit &Limit, TimePoint Now) {
  if (!isLimited(Limit) || Now - Limit.NamedAt < LimitEndDelay)
    return false;
  Limit = ServerLimit();
  return true;
}

double limitTokens(const ServerLimit &Limit, const LimitShare &Share,
                   TimePoint Now) {
  const double Capacity = burst(Limit) / std::max(1, Share.Sharers);
  const double Elapsed =
      std::max(0.0, absl::ToDoubleSeconds(Now - Limit.CountedAt));
  return std::min(Capacity, Limit.Tokens + Elapsed * limitRate(Limit, Share));
}

Duration limitWait(const ServerLimit &Limit, const LimitShare &Share,
                   TimePoint Now) {
  if (!isLimited(Limit))
    return absl::ZeroDuration();
  if (Share.Fraction <= 0)
    return absl::InfiniteDuration();
  const double Lacking = 1 - limitTokens(Limit, Share, Now);
  return Lacking <= 0 ? absl::ZeroDuration()
                      : absl::Seconds(Lacking / limitRate(Limit, Share)) +
                            absl::Microseconds(1);
}

void spendLimit(ServerLimit &Limit, const LimitShare &Share, TimePoint Now) {
  if (!isLimited(Limit))
    return;
  Limit.Tokens = limitTokens(Limit, Share, Now) - 1;
  Limit.CountedAt = Now;
}

} // namespace quetzallead
