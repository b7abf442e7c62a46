#include "relay/AccountMessages.h"
#include "core/base/Cbor.h"
#include <cmath>
#include <nlohmann/json.hpp>

namespace quetzallead {

std::string encodeAccountTokens(const AccountTokens &Tokens) {
  nlohmann::json Map = nlohmann::json::object();
  for (const auto &[Account, Amount] : Tokens) {
    if (Map.size() == MaxAccountsInMessage)
      break;
    Map[Account] = Amount;
  }
  return cborOf(Map);
}

std::optional<AccountTokens> decodeAccountTokens(absl::string_view Bytes) {
  const nlohmann::json Map = parseCbor(Bytes);
  if (!Map.is_object())
    return std::nullopt;
  AccountTokens Out;
  for (const auto &[Account, Value] : Map.items()) {
    if (Out.size() == MaxAccountsInMessage)
      break;
    if (!Value.is_number())
      continue;
    const auto Amount = Value.get<double>();
    if (std::isfinite(Amount) && Amount > 0)
      Out[Account] = Amount;
  }
  return Out;
}

} // namespace quetzallead
