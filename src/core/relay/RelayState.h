#ifndef QUETZALLEAD_CORE_RELAY_RELAYSTATE_H
#define QUETZALLEAD_CORE_RELAY_RELAYSTATE_H

#include "core/relay/BackendPool.h"
#include "core/relay/ExtraLoadBudget.h"
#include "core/relay/RelayRequest.h"
#include "core/relay/RouteTable.h"
#include "core/relay/ServerFeed.h"
#include "core/relay/SplitPicker.h"
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace quetzallead {

/// Construction options of a RelayState.
struct RelayStateOptions {
  std::string Zone;
  ExtraLoadLimits ExtraLoad;
  /// Number of instances assumed until the actual number is known. A high
  /// number keeps the shares of this instance small.
  int AssumedInstances = 32;
  /// Time before the objective at which a response is sent, so that it reaches
  /// the caller in time.
  Duration ObjectiveMargin = absl::Milliseconds(8);
  /// Likewise for the caller's timeout.
  Duration DeadlineMargin = absl::Milliseconds(10);
  PoolPolicy Pool;
  std::uint64_t Seed = 1;
};

/// The state from which requests are planned: the sheet in force, the backend
/// servers of each service, the budgets and the observed response times of each
/// route. Not thread-safe.
class RelayState {
public:
  explicit RelayState(RelayStateOptions Options);

  /// Puts \p Sheet into force if its version is higher than the current one;
  /// returns false otherwise.
  bool updateSheet(RouteSheet Sheet, TimePoint Now);
  /// Null until the first sheet is in force.
  const std::shared_ptr<const RouteTable> &table() const { return Table; }

  /// Applies changes from the discovery feed; returns the servers that are new
  /// or in a new incarnation and may receive requests.
  std::vector<ServerRef>
  applyFeedChanges(const std::vector<FeedChange> &Changes, TimePoint Now);
  void setInstanceCount(int Count, TimePoint Now);
  int instances() const { return Instances; }

  /// Plans a request on a route of table(). \p TimeLeft is the rest of the
  /// caller's timeout at \p Arrived.
  RelayPlan plan(const Route &MatchedRoute, TimePoint Arrived,
                 Duration TimeLeft);

  /// Snapshots by name of every service that a planned request or a discovered
  /// server has named so far.
  std::map<std::string, ServiceSnapshot> snapshot(TimePoint Now) const;

  /// Grants free slots to the queued attempts of all services.
  void grantPermits(TimePoint Now);

private:
  struct Service {
    std::shared_ptr<BackendPool> Pool;
    std::shared_ptr<ExtraLoadBudget> Budget;
  };

  Service &service(const std::string &Name);
  void updateConnectionShares(TimePoint Now);

  RelayStateOptions Options;
  int Instances;
  std::shared_ptr<const RouteTable> Table;
  std::map<std::string, Service> Services;
  /// Service name by server ID.
  std::map<std::string, std::string> ServiceOf;
  std::map<std::string, std::shared_ptr<RouteStats>> Stats;
  SplitPicker Splits;
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_RELAYSTATE_H
