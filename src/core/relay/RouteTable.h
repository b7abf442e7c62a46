#ifndef QUETZALLEAD_CORE_RELAY_ROUTETABLE_H
#define QUETZALLEAD_CORE_RELAY_ROUTETABLE_H

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "core/relay/AccountTable.h"
#include "core/relay/RouteSheet.h"
#include <memory>
#include <string>

namespace quetzallead {

/// Finds the route of a request. Immutable; a request holds the table that was
/// in force on its arrival until it is answered.
class RouteTable {
public:
  explicit RouteTable(RouteSheet Sheet);

  /// Returns the route of \p Host with the longest prefix of \p Target, or null
  /// if none matches. The host is compared without regard to case; a port after
  /// the host and a query or fragment after the path are ignored.
  const Route *find(absl::string_view Host, absl::string_view Target) const;
  const RouteSheet &sheet() const { return Sheet; }
  /// Whether requests carry keys of accounts.
  bool hasAccounts() const { return !Sheet.Accounts.empty(); }
  const AccountTable &accounts() const { return Accounts; }

private:
  RouteSheet Sheet;
  AccountTable Accounts;
  /// Keyed by the lower-case host followed by the prefix; a prefix begins with
  /// a slash, so no separator is needed.
  absl::flat_hash_map<std::string, const Route *> ByPrefix;
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_ROUTETABLE_H
