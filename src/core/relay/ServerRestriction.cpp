#include "core/relay/ServerRestriction.h"
#include "core/relay/PoolServer.h"
#include "core/relay/SharingInstances.h"
#include <algorithm>
#include <limits>

namespace quetzallead {

static LimitShare limitShare(const PoolServer &S,
                             const SharingInstances *Sharing, TimePoint Now) {
  return Sharing == nullptr
             ? LimitShare()
             : Sharing->shareOf(S.Info.Id, S.Limit.PerSecond, Now);
}

static LimitShare coldShare(const PoolServer &S,
                            const SharingInstances *Sharing, TimePoint Now) {
  return Sharing == nullptr
             ? LimitShare()
             : Sharing->shareAmong(S.Info.Id,
                                   maxColdSharers(S.Warm.RatePerSecond), Now);
}

static bool isCapped(const PoolServer &S, TimePoint Now) {
  return isLimited(S.Warm.Cap) && isCold(S.Warm, Now);
}

bool isRestricted(const PoolServer &S, TimePoint Now) {
  return isLimited(S.Limit) || isCapped(S, Now);
}

double restrictedTokens(const PoolServer &S, const SharingInstances *Sharing,
                        TimePoint Now) {
  double Tokens = std::numeric_limits<double>::infinity();
  if (isLimited(S.Limit))
    Tokens = limitTokens(S.Limit, limitShare(S, Sharing, Now), Now);
  if (isCapped(S, Now))
    Tokens = std::min(Tokens,
                      limitTokens(S.Warm.Cap, coldShare(S, Sharing, Now), Now));
  return Tokens;
}

double restrictedRate(const PoolServer &S, const SharingInstances *Sharing,
                      TimePoint Now) {
  double Rate = std::numeric_limits<double>::infinity();
  if (isLimited(S.Limit))
    Rate = limitRate(S.Limit, limitShare(S, Sharing, Now));
  if (isCapped(S, Now))
    Rate = std::min(Rate, limitRate(S.Warm.Cap, coldShare(S, Sharing, Now)));
  return Rate;
}

Duration restrictionWait(const PoolServer &S, const SharingInstances *Sharing,
                         TimePoint Now) {
  Duration Wait = absl::ZeroDuration();
  if (isLimited(S.Limit))
    Wait = limitWait(S.Limit, limitShare(S, Sharing, Now), Now);
  if (isCapped(S, Now))
    Wait =
        std::max(Wait, limitWait(S.Warm.Cap, coldShare(S, Sharing, Now), Now));
  return Wait;
}

void spendRestrictions(PoolServer &S, const SharingInstances *Sharing,
                       TimePoint Now) {
  if (isLimited(S.Limit))
    spendLimit(S.Limit, limitShare(S, Sharing, Now), Now);
  if (isCapped(S, Now))
    spendLimit(S.Warm.Cap, coldShare(S, Sharing, Now), Now);
}

} // namespace quetzallead
