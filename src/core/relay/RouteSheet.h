#ifndef QUETZALLEAD_CORE_RELAY_ROUTESHEET_H
#define QUETZALLEAD_CORE_RELAY_ROUTESHEET_H

#include "core/relay/ClientLimits.h"
#include "core/relay/Route.h"
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace quetzallead {

/// Settings of a service that is the target of routes.
struct RoutedService {
  /// Maximum number of connections to one backend server of the service, over
  /// all instances.
  int ConnectionLimit = 1;
};

/// One complete version of the routing configuration of all instances.
/// Immutable once published.
struct RouteSheet {
  std::uint64_t Version = 0;
  std::vector<Route> Routes;
  std::map<std::string, RoutedService> Services;
  ClientLimits Limits;
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_ROUTESHEET_H
