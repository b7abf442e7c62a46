#ifndef QUETZALLEAD_CORE_SESSION_SIGNEDTEXT_H
#define QUETZALLEAD_CORE_SESSION_SIGNEDTEXT_H

#include "absl/strings/string_view.h"
#include "core/session/TokenFault.h"
#include "quetzallead/Error.h"
#include "quetzallead/NameTable.h"
#include "quetzallead/Time.h"
#include <string>

namespace quetzallead {

class KeyRing;

/// What a signed text is good for; one kind is never accepted as another.
enum class SignedKind { Session, Ticket };

inline constexpr NamedValue<SignedKind> SignedKindNames[] = {
    {SignedKind::Session, "session"},
    {SignedKind::Ticket, "ticket"},
};

/// Longest signed text that is accepted, in bytes; fits a header field.
inline constexpr std::size_t MaxSignedTextBytes = 8192;

/// \p Payload with an HMAC-SHA256 as "key id.payload.signature", the last two
/// in base64url; safe in a header field.
std::string signText(const KeyRing &Keys, SignedKind Kind,
                     absl::string_view Payload, TimePoint Now);

/// The payload of \p Text. Compares in constant time. Fails with
/// PermissionDenied and a TokenFault.
Result<std::string> verifyText(const KeyRing &Keys, SignedKind Kind,
                               absl::string_view Text);

/// A failed Result for a refused token.
leaf::error_id failToken(TokenFault Fault, SignedKind Kind);

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_SESSION_SIGNEDTEXT_H
