#ifndef QUETZALLEAD_CORE_RELAY_SERVERRESTRICTION_H
#define QUETZALLEAD_CORE_RELAY_SERVERRESTRICTION_H

#include "quetzallead/Time.h"

namespace quetzallead {

struct PoolServer;
class SharingInstances;

/// What the limit that a server names and its cap while cold together leave to
/// this instance. \p Sharing divides them; null if this instance is alone.

/// Whether the server has a limit, or is cold and has a cap.
bool isRestricted(const PoolServer &S, TimePoint Now);
/// Requests that may be sent at \p Now; may be a fraction.
double restrictedTokens(const PoolServer &S, const SharingInstances *Sharing,
                        TimePoint Now);
/// Requests per second that this instance may send.
double restrictedRate(const PoolServer &S, const SharingInstances *Sharing,
                      TimePoint Now);
/// Time until a request may be sent; infinite if this instance has no share.
Duration restrictionWait(const PoolServer &S, const SharingInstances *Sharing,
                         TimePoint Now);
/// Counts a request sent at \p Now.
void spendRestrictions(PoolServer &S, const SharingInstances *Sharing,
                       TimePoint Now);

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_SERVERRESTRICTION_H
