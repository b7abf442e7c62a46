#ifndef QUETZALLEAD_CORE_RELAY_LEAVINGSERVERS_H
#define QUETZALLEAD_CORE_RELAY_LEAVINGSERVERS_H

#include "absl/container/flat_hash_map.h"
#include "core/relay/DiscoveredServer.h"
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace quetzallead {

/// Incarnations of backend servers whose responses announced that they leave.
///
/// Handles discovery sources that are late, or that come back from an older
/// copy, and still list such a server as ready. An incarnation that leaves does
/// not become ready again; a server that starts again has another start time or
/// address.
class LeavingServers {
public:
  /// Incarnations remembered; the oldest are forgotten first.
  static constexpr std::size_t MaxIncarnations = 4096;

  /// Returns false if the incarnation of \p Server is known to leave already.
  bool add(const DiscoveredServer &Server);
  bool contains(const DiscoveredServer &Server) const;

private:
  struct Incarnation {
    std::string Address;
    /// 0 if unknown.
    std::int64_t StartedAtMillis = 0;
  };

  absl::flat_hash_map<std::string, std::vector<Incarnation>> ById;
  /// Ids in the order in which their incarnations were added.
  std::deque<std::string> Order;
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_LEAVINGSERVERS_H
