#ifndef QUETZALLEAD_CORE_SESSION_TOKENFAULT_H
#define QUETZALLEAD_CORE_SESSION_TOKENFAULT_H

#include "quetzallead/NameTable.h"

namespace quetzallead {

/// Why a signed token was refused. Travels as a second error object beside the
/// Error of a failed Result.
enum class TokenFault {
  Oversized,    ///< Longer than any token that is issued.
  Malformed,    ///< Not a token at all, or signed content that makes no sense.
  UnknownKey,   ///< Names a key that is not in the ring.
  BadSignature, ///< Forged or altered.
  Expired,
};

inline constexpr NamedValue<TokenFault> TokenFaultNames[] = {
    {TokenFault::Oversized, "oversized"},
    {TokenFault::Malformed, "malformed"},
    {TokenFault::UnknownKey, "unknown_key"},
    {TokenFault::BadSignature, "bad_signature"},
    {TokenFault::Expired, "expired"},
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_SESSION_TOKENFAULT_H
