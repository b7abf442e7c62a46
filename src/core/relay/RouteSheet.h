#ifndef QUETZALLEAD_CORE_RELAY_ROUTESHEET_H
#define QUETZALLEAD_CORE_RELAY_ROUTESHEET_H

#include "core/relay/ClientAccount.h"
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
  /// Target of health probes; empty if the service has none.
  std::string HealthPath;
  /// Time after its start for which a backend server stays cold.
  Duration WarmUpTime = absl::ZeroDuration();
  /// Requests per second that a cold server takes from all instances together;
  /// 0 if there is no such limit.
  double WarmUpRate = 0;
};

/// One complete version of the routing configuration of all instances.
/// Immutable once published.
struct RouteSheet {
  std::uint64_t Version = 0;
  std::vector<Route> Routes;
  std::map<std::string, RoutedService> Services;
  ClientLimits Limits;
  /// Empty if the sheet has none; requests then carry no key.
  std::vector<ClientAccount> Accounts;
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_ROUTESHEET_H
