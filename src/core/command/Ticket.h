#ifndef QUETZALLEAD_CORE_COMMAND_TICKET_H
#define QUETZALLEAD_CORE_COMMAND_TICKET_H

#include "absl/strings/string_view.h"
#include "quetzallead/Error.h"
#include "quetzallead/Time.h"
#include <cstdint>
#include <string>

namespace quetzallead {

class KeyRing;

/// A one-use permission to run one command. Only the incarnation that issued
/// it may run that command, so no agreement between instances is needed.
struct Ticket {
  /// Name of the issuing instance.
  std::string Issuer;
  /// Which start of that instance.
  std::uint64_t Incarnation = 0;
  /// Counts up within the incarnation.
  std::uint64_t Sequence = 0;
  /// On the issuer's own clock; nobody else judges it. Kept to the millisecond.
  TimePoint Expires;
};

/// \p T as the text that callers send as Idempotency-Key.
std::string signTicket(const KeyRing &Keys, const Ticket &T, TimePoint Now);

/// The ticket that \p Text states, whether expired or not. Fails with
/// PermissionDenied and a TokenFault.
Result<Ticket> verifyTicket(const KeyRing &Keys, absl::string_view Text);

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_COMMAND_TICKET_H
