#ifndef QUETZALLEAD_CORE_RELAY_ROUTETABLE_H
#define QUETZALLEAD_CORE_RELAY_ROUTETABLE_H

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "core/relay/RouteSheet.h"
#include <memory>
#include <string>

namespace quetzallead {

/// Finds the route of a request. Immutable; a request keeps the table that it
/// came under until it is answered.
class RouteTable {
public:
  explicit RouteTable(RouteSheet Sheet);

  /// The route of \p Host with the longest prefix of \p Target; null if there
  /// is none. A port behind the host and a query behind the path are ignored,
  /// and so is the case of the host.
  const Route *find(absl::string_view Host, absl::string_view Target) const;
  const RouteSheet &sheet() const { return Sheet; }

private:
  RouteSheet Sheet;
  /// Keyed by lower-case host and prefix; a prefix begins with a slash, so the
  /// two need no separator.
  absl::flat_hash_map<std::string, const Route *> ByPrefix;
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_ROUTETABLE_H
