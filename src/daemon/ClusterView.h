#ifndef QUETZALLEAD_DAEMON_CLUSTERVIEW_H
#define QUETZALLEAD_DAEMON_CLUSTERVIEW_H

#include "absl/container/flat_hash_map.h"
#include "daemon/ServiceView.h"
#include <cstdint>
#include <memory>
#include <string>

namespace quetzallead {

/// The sheet in force as requests see it.
struct ClusterView {
  /// Revision of the sheet; 0 before the first.
  std::uint64_t Revision = 0;
  absl::flat_hash_map<std::string, std::shared_ptr<const ServiceView>> Services;

  /// Null if there is no service called \p Name.
  std::shared_ptr<const ServiceView> service(const std::string &Name) const {
    auto It = Services.find(Name);
    return It == Services.end() ? nullptr : It->second;
  }
};

} // namespace quetzallead

#endif // QUETZALLEAD_DAEMON_CLUSTERVIEW_H
