#ifndef QUETZALLEAD_CORE_RELAY_ACCOUNTTABLE_H
#define QUETZALLEAD_CORE_RELAY_ACCOUNTTABLE_H

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "core/relay/ClientAccount.h"
#include "quetzallead/Error.h"
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace quetzallead {

/// Finds the account of a key. Holds hashes of the keys only. Immutable.
class AccountTable {
public:
  /// \p Accounts must outlive the table.
  explicit AccountTable(const std::vector<ClientAccount> &Accounts);

  /// Returns the account that holds \p Key, or null.
  const ClientAccount *find(absl::string_view Key) const;

private:
  using KeyHash = std::pair<std::uint64_t, std::uint64_t>;

  static KeyHash hashOf(absl::string_view Key);

  absl::flat_hash_map<KeyHash, const ClientAccount *> ByKey;
};

/// Describes the first account that cannot be put into force: without a name or
/// with an empty key, with a name or a key of another one, or with a rate that
/// is negative or not finite. Nothing if there is none.
std::optional<Error>
findAccountFault(const std::vector<ClientAccount> &Accounts);

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_ACCOUNTTABLE_H
