#ifndef QUETZALLEAD_CORE_RELAY_ROUTE_H
#define QUETZALLEAD_CORE_RELAY_ROUTE_H

#include "core/relay/RequestKind.h"
#include "quetzallead/Time.h"
#include <cstddef>
#include <string>
#include <vector>

namespace quetzallead {

/// How a route selects backend servers for a request.
enum class RouteTarget {
  Single, ///< One backend server of Services[0].
  Split,  ///< One backend server of one service, selected by weight.
  Survey, ///< One backend server of each service; the parts are merged.
  Home,   ///< One instance, which matches the request to a route itself.
};

struct RouteService {
  std::string Name;
  /// Weight relative to the other services of the route; used by Split only.
  double Weight = 1;
};

/// One route of a sheet: matches requests by host and path prefix.
struct Route {
  std::string Name;
  std::string Host;
  /// Begins and ends with a slash.
  std::string Prefix;
  RequestKind Kind = RequestKind::Idempotent;
  RouteTarget Target = RouteTarget::Single;
  std::vector<RouteService> Services;
  /// Maximum number of backend servers that one request is sent to; per shard
  /// for a survey.
  int MaxAttempts = 1;
  /// Maximum time from arrival to response.
  Duration Timeout = absl::Seconds(1);
  /// Time within which a response has its full value to the caller.
  Duration Objective = absl::Milliseconds(100);
  /// Priority; lower ranks are served first, beginning with 0.
  int Priority = 0;
  /// Minimum fraction of the shards, 0 to 1, that a survey needs to succeed.
  double MinCoverage = 1;
  /// Maximum number of records in a survey's merged response.
  std::size_t MaxRecords = 0;
  /// Requests need no key of an account.
  bool Public = false;
  /// Regions that a request and its body may reach; empty for all.
  std::vector<std::string> Regions;
};

/// Whether a request on \p R may be sent to backend servers by a second
/// instance after a first one may have done so. \p AskersLimit is the number of
/// attempts for each part that the asking instance divides between the two,
/// which may have another sheet; 0 if it is unknown.
bool permitsSecondHome(const Route &R, int AskersLimit);

/// Number of parts that a successful response to a request on \p R needs.
std::size_t neededParts(const Route &R);

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_ROUTE_H
