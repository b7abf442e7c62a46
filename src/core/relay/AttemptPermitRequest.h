#ifndef QUETZALLEAD_CORE_RELAY_ATTEMPTPERMITREQUEST_H
#define QUETZALLEAD_CORE_RELAY_ATTEMPTPERMITREQUEST_H

#include "core/relay/AllowedZones.h"
#include "core/relay/PoolServer.h"
#include "core/relay/RequestKind.h"
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace quetzallead {

class RouteStats;

using ServerRef = std::shared_ptr<PoolServer>;

/// A request for one slot at a backend server.
struct AttemptPermitRequest {
  const RouteStats *Stats = nullptr;
  RequestKind Kind = RequestKind::Idempotent;
  /// Time within which the request should be answered.
  Duration Objective = absl::Milliseconds(100);
  /// Priority in the queue, that of the account before that of the route; 0 is
  /// served first.
  int AccountPriority = 0;
  int Priority = 0;
  /// Name of the account; empty if there is none.
  std::string Account;
  /// Zones of the servers that may be chosen.
  AllowedZones Zones;
  /// A response after this time has little value; requests that can still be
  /// in time are served first.
  TimePoint ObjectiveDeadline = absl::InfiniteFuture();
  /// A permit granted after this time is of no use.
  TimePoint LatestStart = absl::InfiniteFuture();
  /// Servers that must not be chosen.
  std::vector<ServerRef> Excluded;
  /// If not empty, one of these servers must be chosen, whatever Excluded says.
  std::vector<ServerRef> Only;
  /// If false, only a healthy server with low load is chosen; used for hedges.
  bool AllowUnhealthy = true;
  /// If false, servers that are marked unreachable are not chosen, not even as
  /// a last resort.
  bool AllowUnreachable = true;
  /// A server has ended while it had a request of this content.
  bool Suspected = false;
  /// The part is one of the last that its survey needs.
  bool Decisive = false;
};

/// Called when a queued request is granted a slot, with null if no eligible
/// server is left.
using AttemptPermitCallback = std::function<void(ServerRef, TimePoint Now)>;

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_ATTEMPTPERMITREQUEST_H
