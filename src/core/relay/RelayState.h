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

/// What a RelayState is made with.
struct RelayStateOptions {
  std::string Zone;
  ExtraLoadLimits ExtraLoad;
  /// Instances assumed before their number is known: shares are small then.
  int AssumedInstances = 32;
  /// Before the objective by which an answer leaves, so that it arrives in
  /// time.
  Duration AnswerMargin = absl::Milliseconds(8);
  /// The same before the end of the caller's patience.
  Duration DeadlineMargin = absl::Milliseconds(10);
  PoolPolicy Pool;
  std::uint64_t Seed = 1;
};

/// Everything that requests are planned by: the sheet in force, the backend
/// servers by service, budgets and what was learned. Not thread-safe.
class RelayState {
public:
  explicit RelayState(RelayStateOptions Options);

  /// Takes \p Sheet if its version is above the one in force; false otherwise.
  bool adopt(RouteSheet Sheet, TimePoint Now);
  /// Null before the first sheet.
  const std::shared_ptr<const RouteTable> &table() const { return Table; }

  /// Carries out changes of the feed; returns the servers that came.
  std::vector<ServerRef> apply(const std::vector<FeedChange> &Changes,
                               TimePoint Now);
  void setInstances(int Count, TimePoint Now);
  int instances() const { return Instances; }

  /// Plans a request on a route of table().
  RelayPlan plan(const Route &Taken, TimePoint Arrived, Duration TimeLeft);

  /// Every service that was ever named by a sheet or a server.
  std::map<std::string, ServiceSnapshot> snapshot(TimePoint Now) const;

  /// Hands free places to all queues.
  void serveQueues(TimePoint Now);

private:
  struct Service {
    std::shared_ptr<BackendPool> Pool;
    std::shared_ptr<ExtraLoadBudget> Budget;
  };

  Service &service(const std::string &Name);
  void shareConnections(TimePoint Now);

  RelayStateOptions Options;
  int Instances;
  std::shared_ptr<const RouteTable> Table;
  std::map<std::string, Service> Services;
  /// Service of each known server.
  std::map<std::string, std::string> ServiceOf;
  std::map<std::string, std::shared_ptr<RouteStats>> Stats;
  SplitPicker Splits;
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_RELAYSTATE_H
