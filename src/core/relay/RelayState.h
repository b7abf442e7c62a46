#ifndef QUETZALLEAD_CORE_RELAY_RELAYSTATE_H
#define QUETZALLEAD_CORE_RELAY_RELAYSTATE_H

#include "core/relay/AccountLimits.h"
#include "core/relay/BackendPool.h"
#include "core/relay/ExtraLoadBudget.h"
#include "core/relay/HomeSelection.h"
#include "core/relay/LeavingServers.h"
#include "core/relay/RelayRequest.h"
#include "core/relay/RouteTable.h"
#include "core/relay/ServerContact.h"
#include "core/relay/ServerFeed.h"
#include "core/relay/SharingInstances.h"
#include "core/relay/SplitPicker.h"
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace quetzallead {

/// Construction options of a RelayState.
struct RelayStateOptions {
  /// Name of this instance.
  std::string Instance;
  std::string Zone;
  /// Region by availability zone.
  std::map<std::string, std::string> ZoneRegions;
  ExtraLoadLimits ExtraLoad;
  /// Number of instances assumed until the actual number is known. A high
  /// number keeps the shares of this instance small.
  int AssumedInstances = 32;
  /// Time before the objective at which a response is sent, besides its time in
  /// transit, so that it reaches the caller in time.
  Duration ObjectiveMargin = absl::Milliseconds(4);
  /// Likewise for the caller's timeout.
  Duration DeadlineMargin = absl::Milliseconds(10);
  PoolPolicy Pool;
  HomePolicy Homes;
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
  /// Records that a response of \p Server announced that it is leaving: its
  /// incarnation gets no new attempts, even if the discovery feed lists it as
  /// ready. Returns false if that was known. Call grantPermits() afterwards.
  bool markLeaving(const ServerRef &Server);
  /// Likewise for incarnations that are known to be draining from before the
  /// discovery feed came back from an older copy.
  void rememberDraining(const std::vector<DiscoveredServer> &Servers);
  /// Records that \p Server wants no requests for \p Time. Applies to its
  /// incarnation, also if the discovery feed removes it and lists it again.
  /// Returns true if a pause began. Call grantPermits() afterwards.
  bool pauseServer(const ServerRef &Server, Duration Time, TimePoint Now);
  /// Records a response of \p Server, which names a limit of \p PerSecond
  /// requests per second over all instances, or none. Applies to its
  /// incarnation, like pauseServer(). Returns true if the limit began, changed
  /// or ended. Call grantPermits() then.
  bool limitServer(const ServerRef &Server, std::optional<double> PerSecond,
                   TimePoint Now);
  /// Sets the availability zones whose backend servers get no requests, until
  /// the next call. Returns the servers that may still get some.
  std::vector<ServerRef> setEvacuatedZones(const std::set<std::string> &Zones,
                                           TimePoint Now);
  /// Servers with a cap that may have turned cold unnoticed and may get
  /// requests.
  std::vector<ServerRef> serversThatMayBeCold() const;
  /// Records that \p Server has said that it stays cold for \p Left; it is warm
  /// if that is not positive. Returns whether it turned cold or warm.
  bool noteWarmUp(const ServerRef &Server, Duration Left, TimePoint Now);
  /// The instances that divide the limits of servers.
  SharingInstances &sharing() { return *Sharing; }
  /// Called when queued attempts may get a permit at a time although none ends:
  /// grantPermits() is due then. May be empty.
  std::function<void(TimePoint)> OnPermitDue;
  /// Sets the number of instances that may connect to backend servers and how
  /// many of them are homes, which share what the limits allow; \p SelfIsHome
  /// tells whether this one is. The others get one connection to each server,
  /// and extra attempts for their own requests only.
  void setInstanceCount(int Count, int HomeCount, bool SelfIsHome,
                        TimePoint Now);
  int instances() const { return Instances; }

  /// Plans a request on a route of table(). \p TimeLeft is the rest of the
  /// caller's timeout at \p Arrived, \p TransitTime the time that the request
  /// took before and the response will take.
  RelayPlan plan(const Route &MatchedRoute, TimePoint Arrived,
                 Duration TimeLeft, Duration TransitTime,
                 const ClientAccount *Account = nullptr);
  /// This instance's part of the limits of client accounts.
  AccountLimits &accountLimits() { return Limits; }

  /// How long a request on \p R usually takes; zero if that is not known.
  Duration expectedTime(const Route &R) const;
  /// Likewise for requests that are forwarded to a home.
  Duration expectedForwardTime(const Route &R) const;

  /// Puts the homes of \p Directory into the pool of forwarding targets; those
  /// of other zones are used if no home of the own zone can be reached. Returns
  /// the homes of the own zone that are new.
  std::vector<ServerRef> updateHomes(const InstanceDirectory &Directory,
                                     const std::string &Self, TimePoint Now);
  /// Whether a home is known that is not marked unreachable.
  bool hasReachableHome() const { return Homes.Pool->hasConnectableServer(); }
  /// Whether one of these has not said a moment ago that it has lost the
  /// backend servers.
  bool hasHomeWithServers(TimePoint Now) const {
    return Homes.Pool->hasReachableServer(Now);
  }
  /// Records whether \p Home has said that it has lost the backend servers. It
  /// then gets no requests for a moment.
  static void noteHome(const ServerRef &Home, bool ServersLost, TimePoint Now);
  /// Homes in order of preference, those of the own zone first.
  std::vector<ServerRef> homes() const;
  /// Number of homes() in the own zone.
  std::size_t nearHomeCount() const;
  /// Plans to forward a request to a home. \p MatchedRoute is the route that
  /// the request matches in table(), or null if it matches none.
  RelayPlan planForward(const Route *MatchedRoute, TimePoint Arrived,
                        Duration TimeLeft,
                        const ClientAccount *Account = nullptr);

  /// Snapshots by name of every service that a planned request or a discovered
  /// server has named so far.
  std::map<std::string, ServiceSnapshot> snapshot(TimePoint Now) const;

  /// What the backend servers of all services show, given that one was heard
  /// from at \p HeardAt last.
  ServerContactSample contactSample(TimePoint HeardAt, TimePoint Now) const;
  /// The backend servers that accept attempts.
  std::vector<ServerRef> listedServers() const;
  /// Up to \p Count of them, of different services and zones as far as
  /// possible; those that are silent in the sense of contactSample() first.
  std::vector<ServerRef> serversToProbe(std::size_t Count, TimePoint HeardAt,
                                        TimePoint Now) const;
  /// Whether an attempt at a backend server is in flight.
  bool hasAttemptsInFlight() const;
  /// Whether a request on \p R cannot be served because no connection to any
  /// server of a service, or of too many shards, can be established.
  bool outOfReach(const Route &R) const;

  /// Grants free slots to the queued attempts of all services.
  void grantPermits(TimePoint Now);

private:
  struct Service {
    std::shared_ptr<BackendPool> Pool;
    std::shared_ptr<ExtraLoadBudget> Budget;
  };

  Service &service(const std::string &Name);
  /// Sets what a plan takes from its account and the regions.
  void setAccount(RelayPlan &Plan, const Route &MatchedRoute,
                  const ClientAccount *Account) const;
  /// The listed server of the same incarnation as \p Server, which may have
  /// been removed and listed again since it got an attempt; null if there is
  /// none.
  ServerRef listedServer(const PoolServer &Server);
  /// Lets a server that was removed and is listed again continue its pause and
  /// its limit.
  void restoreRestrictions(const ServerRef &Server);
  /// Remembers the restrictions of \p Listed and forgets those that have ended.
  void rememberRestrictions(ServerRef Listed, TimePoint Now);
  void updateConnectionShares(TimePoint Now);
  /// Number of instances that share the base of the extra load.
  int budgetSharers(TimePoint Now) const;

  RelayStateOptions Options;
  int Instances;
  int HomeCount;
  bool SelfIsHome = true;
  std::shared_ptr<const RouteTable> Table;
  std::map<std::string, Service> Services;
  std::set<std::string> EvacuatedZones;
  /// Service name by server ID.
  std::map<std::string, std::string> ServiceOf;
  LeavingServers Leaving;
  /// Servers by id whose last pause or limit may not be over.
  std::map<std::string, ServerRef> RestrictedServers;
  std::shared_ptr<SharingInstances> Sharing;
  AccountLimits Limits;
  std::shared_ptr<ClaimDelay> Claims = std::make_shared<ClaimDelay>();
  std::map<std::string, std::shared_ptr<RouteStats>> Stats;
  Service Homes;
  /// Response times of homes, by route name.
  std::map<std::string, std::shared_ptr<RouteStats>> HomeStats;
  SplitPicker Splits;
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_RELAYSTATE_H
