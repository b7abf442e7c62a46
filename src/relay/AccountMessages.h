#ifndef QUETZALLEAD_RELAY_ACCOUNTMESSAGES_H
#define QUETZALLEAD_RELAY_ACCOUNTMESSAGES_H

#include "absl/strings/string_view.h"
#include "core/relay/AccountLimits.h"
#include <optional>
#include <string>

namespace quetzallead {

/// Target of the requests by which instances ask each other for tokens.
inline constexpr char LinkAccountsTarget[] = "/quetzallead/accounts";
/// Accounts in one message.
inline constexpr std::size_t MaxAccountsInMessage = 256;

/// Encodes tokens by account as CBOR; accounts beyond MaxAccountsInMessage are
/// left out.
std::string encodeAccountTokens(const AccountTokens &Tokens);

/// Decodes a message of another instance; empty if it is no map. Amounts that
/// are no positive finite number are left out.
std::optional<AccountTokens> decodeAccountTokens(absl::string_view Bytes);

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_ACCOUNTMESSAGES_H
