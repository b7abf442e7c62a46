#include "core/command/TicketIssuer.h"

namespace quetzallead {

std::string TicketIssuer::issue(const KeyRing &Keys, TimePoint Now) {
  if (Stopped)
    return std::string();
  Ticket T;
  T.Issuer = Name;
  T.Incarnation = OwnIncarnation;
  T.Sequence = NextSequence.fetch_add(1, std::memory_order_relaxed);
  T.Expires = Now + absl::Seconds(LifetimeSeconds);
  return signTicket(Keys, T, Now);
}

} // namespace quetzallead
