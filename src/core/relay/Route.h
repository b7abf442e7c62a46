#ifndef QUETZALLEAD_CORE_RELAY_ROUTE_H
#define QUETZALLEAD_CORE_RELAY_ROUTE_H

#include "core/relay/RequestKind.h"
#include "quetzallead/Time.h"
#include <cstddef>
#include <string>
#include <vector>

namespace quetzallead {

/// What a route does with a request.
enum class RouteTarget {
  Single, ///< One backend server of Services[0].
  Split,  ///< One backend server of one service, drawn by weight.
  Survey, ///< One backend server of every service; the parts are merged.
};

struct RouteService {
  std::string Name;
  /// Share of the requests relative to the other weights; used by Split only.
  double Weight = 1;
};

/// One route of a sheet: requests for a host whose path begins with a prefix.
struct Route {
  std::string Name;
  std::string Host;
  /// Begins and ends with a slash.
  std::string Prefix;
  RequestKind Kind = RequestKind::Idempotent;
  RouteTarget Target = RouteTarget::Single;
  std::vector<RouteService> Services;
  /// Backend servers that may receive one request; per shard for a survey.
  int MaxAttempts = 1;
  /// Longest time that a request may be kept.
  Duration Timeout = absl::Seconds(1);
  /// Time within which an answer has its full value to the caller.
  Duration Objective = absl::Milliseconds(100);
  /// 0 goes first.
  int Rank = 0;
  /// Share of the shards, 0 to 1, without which a survey fails.
  double LeastCoverage = 1;
  /// Records of a survey's answer.
  std::size_t RecordsWanted = 0;
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_ROUTE_H
