#ifndef QUETZALLEAD_CORE_RELAY_ROUTESHEET_H
#define QUETZALLEAD_CORE_RELAY_ROUTESHEET_H

#include "core/relay/ClientLimits.h"
#include "core/relay/Route.h"
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace quetzallead {

/// What a sheet says of a service that routes lead to.
struct RoutedService {
  /// Connections that one of its backend servers takes from all instances.
  int ConnectionLimit = 1;
};

/// The routes that govern every instance, whole, in one version. Immutable
/// once published.
struct RouteSheet {
  std::uint64_t Version = 0;
  std::vector<Route> Routes;
  std::map<std::string, RoutedService> Services;
  ClientLimits Limits;
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_ROUTESHEET_H
