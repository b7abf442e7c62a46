#include "core/relay/RelayState.h"
#include "quetzallead/ConnectionShare.h"
#include <algorithm>
#include <set>

namespace quetzallead {

/// Number of sharers that leaves nothing of the base of the extra load.
static constexpr int NoBudgetBase = 1000000;
/// Service name of the homes, in logs.
static constexpr char HomesService[] = "homes";
/// Connections to one home. Requests of callers that exceed it wait for a
/// response to an earlier one.
static constexpr int HomeConnections = 64;
/// Requests that a home serves concurrently, as far as forwarding is concerned:
/// it queues and rejects by what it knows of the backend servers.
static constexpr int HomeSlots = 64;
/// Homes that may run one request at most.
static constexpr int MaxHomeAttempts = 2;
/// Objective and timeout assumed for a request that matches no known route.
static constexpr Duration UnknownRouteObjective = absl::Seconds(1);
static constexpr Duration UnknownRouteTimeout = absl::Seconds(30);
/// Extra attempts of forwarding, relative to the caller requests of this
/// instance. Each one may cost an extra attempt per shard, which the home takes
/// from its own budget.
static constexpr double ForwardExtraShare = 0.1;
static constexpr double ForwardExtraBase = 4;
/// How long a home that has lost the backend servers gets no requests. Each
/// response of it begins that time anew.
static constexpr Duration HomeWithoutServersTime = absl::Milliseconds(800);
/// How long the limit of a server that is not listed is remembered.
static constexpr Duration LimitMemoryTime = absl::Minutes(1);

static ExtraLoadLimits forwardLimits() {
  ExtraLoadLimits Limits;
  Limits.Share = ForwardExtraShare;
  Limits.Base = ForwardExtraBase;
  return Limits;
}

RelayState::RelayState(RelayStateOptions InitialOptions)
    : Options(std::move(InitialOptions)), Instances(Options.AssumedInstances),
      HomeCount(Options.AssumedInstances),
      Sharing(std::make_shared<SharingInstances>(Options.Instance,
                                                 Options.AssumedInstances)),
      Limits(Sharing) {
  Homes.Pool =
      std::make_shared<BackendPool>(Options.Zone, Options.Seed, Options.Pool);
  Homes.Pool->setConnectionShare(HomeConnections, absl::InfinitePast());
  Homes.Budget = std::make_shared<ExtraLoadBudget>(forwardLimits());
}

std::vector<ServerRef>
RelayState::updateHomes(const InstanceDirectory &Directory,
                        const std::string &Self, TimePoint Now) {
  std::set<std::string> Zones;
  for (const InstanceRecord &Instance : Directory.Instances)
    Zones.insert(Instance.Zone);
  std::set<std::string> Chosen;
  std::vector<ServerRef> NewHomes;
  for (const std::string &Zone : Zones)
    for (const InstanceRecord &Home :
         selectHomes(Directory, Zone, Options.Homes)) {
      if (Home.Name == Self)
        continue;
      Chosen.insert(Home.Name);
      const bool Known = Homes.Pool->servers().count(Home.Name) != 0;
      DiscoveredServer Info;
      Info.Id = Home.Name;
      Info.Service = HomesService;
      Info.Address = Home.LinkAddress;
      Info.Zone = Home.Zone;
      Info.Slots = HomeSlots;
      Info.IsInstance = true;
      Homes.Pool->upsert(Info, Now);
      if (!Known && Zone == Options.Zone)
        NewHomes.push_back(Homes.Pool->servers().at(Home.Name));
    }
  std::vector<std::string> Left;
  for (const auto &[Name, Home] : Homes.Pool->servers())
    if (Chosen.count(Name) == 0)
      Left.push_back(Name);
  for (const std::string &Name : Left)
    Homes.Pool->remove(Name, Now);
  Homes.Pool->grantPermits(Now);
  return NewHomes;
}

void RelayState::noteHome(const ServerRef &Home, bool ServersLost,
                          TimePoint Now) {
  if (ServersLost)
    extendPause(Home->Pause, HomeWithoutServersTime, Now);
  else
    Home->Pause = ServerPause();
}

std::vector<ServerRef> RelayState::listedServers() const {
  std::vector<ServerRef> Out;
  for (const auto &[Name, S] : Services)
    for (const auto &[Id, Server] : S.Pool->servers())
      if (Server->takesAttempts())
        Out.push_back(Server);
  return Out;
}

static bool isSilent(const PoolServer &S, TimePoint HeardAt, TimePoint Now) {
  return (S.Unreachable && S.UnreachableSince > HeardAt) ||
         S.becameOverdue(HeardAt, Now);
}

ServerContactSample RelayState::contactSample(TimePoint HeardAt,
                                              TimePoint Now) const {
  ServerContactSample Sample;
  for (const auto &[Name, S] : Services)
    for (const auto &[Id, Server] : S.Pool->servers()) {
      if (!Server->takesAttempts())
        continue;
      ++Sample.Listed;
      Sample.Silent += isSilent(*Server, HeardAt, Now) ? 1 : 0;
      Sample.Unreachable += Server->Unreachable ? 1 : 0;
    }
  return Sample;
}

std::vector<ServerRef> RelayState::serversToProbe(std::size_t Count,
                                                  TimePoint HeardAt,
                                                  TimePoint Now) const {
  std::vector<ServerRef> Servers = listedServers();
  const auto Others = std::stable_partition(
      Servers.begin(), Servers.end(),
      [&](const ServerRef &S) { return isSilent(*S, HeardAt, Now); });
  // Those that are not silent are needed only if there are too few.
  const auto SilentCount = static_cast<std::size_t>(Others - Servers.begin());
  Servers.resize(std::max(SilentCount, std::min(Count, Servers.size())));
  std::stable_sort(Servers.begin(), Servers.end(),
                   [](const ServerRef &A, const ServerRef &B) {
                     return A->Info.Zone < B->Info.Zone;
                   });
  // Equal steps through the zones lead to different zones and services.
  std::vector<ServerRef> Out;
  const std::size_t Chosen = std::min(Count, Servers.size());
  for (std::size_t I = 0; I < Chosen; ++I)
    Out.push_back(Servers[I * Servers.size() / Chosen]);
  return Out;
}

bool RelayState::hasAttemptsInFlight() const {
  for (const auto &[Name, S] : Services)
    for (const auto &[Id, Server] : S.Pool->servers())
      if (!Server->Pending.empty())
        return true;
  return false;
}

bool RelayState::outOfReach(const Route &R) const {
  std::size_t Lost = 0;
  for (const RouteService &S : R.Services) {
    auto Found = Services.find(S.Name);
    Lost += Found != Services.end() && Found->second.Pool->outOfReach() ? 1 : 0;
  }
  // A part of a split is chosen later.
  return R.Target == RouteTarget::Survey
             ? Lost > 0 && R.Services.size() - Lost < neededParts(R)
             : Lost == R.Services.size();
}

std::vector<ServerRef> RelayState::homes() const {
  std::vector<ServerRef> Out;
  for (const auto &[Name, Home] : Homes.Pool->servers())
    if (Home->AcceptsAttempts)
      Out.push_back(Home);
  std::stable_partition(Out.begin(), Out.end(), [&](const ServerRef &Home) {
    return Home->Info.Zone == Options.Zone;
  });
  return Out;
}

std::size_t RelayState::nearHomeCount() const {
  const auto &Servers = Homes.Pool->servers();
  return static_cast<std::size_t>(
      std::count_if(Servers.begin(), Servers.end(), [this](const auto &Entry) {
        return Entry.second->AcceptsAttempts &&
               Entry.second->Info.Zone == Options.Zone;
      }));
}

RelayPlan RelayState::planForward(const Route *MatchedRoute, TimePoint Arrived,
                                  Duration TimeLeft,
                                  const ClientAccount *Account) {
  auto Forward = std::make_shared<Route>();
  Forward->Name = MatchedRoute != nullptr ? MatchedRoute->Name : "";
  // Without a route it is unknown whether the request may be repeated.
  Forward->Kind =
      MatchedRoute != nullptr ? MatchedRoute->Kind : RequestKind::AtMostOnce;
  Forward->Target = RouteTarget::Home;
  // Each home that the request reaches may send it to a backend server.
  Forward->MaxAttempts =
      MatchedRoute != nullptr
          ? std::min(MatchedRoute->MaxAttempts, MaxHomeAttempts)
          : 1;
  Forward->Timeout =
      MatchedRoute != nullptr ? MatchedRoute->Timeout : UnknownRouteTimeout;
  Forward->Objective =
      MatchedRoute != nullptr ? MatchedRoute->Objective : UnknownRouteObjective;
  Forward->Priority = MatchedRoute != nullptr ? MatchedRoute->Priority : 0;
  std::shared_ptr<RouteStats> &S = HomeStats[Forward->Name];
  if (S == nullptr)
    S = std::make_shared<RouteStats>();
  RelayPlan Plan;
  Plan.Stats = S;
  Plan.ArrivalTime = Arrived;
  Plan.Deadline =
      Arrived + std::min(TimeLeft - Options.DeadlineMargin, Forward->Timeout);
  Plan.CallerDeadline = Arrived + TimeLeft;
  Plan.ObjectiveDeadline = Plan.Deadline;
  Plan.Targets.push_back(RelayTarget{HomesService, Homes.Pool, Homes.Budget});
  Plan.AskersLimit = MatchedRoute != nullptr ? MatchedRoute->MaxAttempts : 0;
  if (MatchedRoute != nullptr)
    setAccount(Plan, *MatchedRoute, Account);
  Plan.MatchedRoute = Forward.get();
  Plan.OwnedRoute = std::move(Forward);
  return Plan;
}

RelayState::Service &RelayState::service(const std::string &Name) {
  Service &S = Services[Name];
  if (S.Pool == nullptr) {
    S.Pool = std::make_shared<BackendPool>(
        Options.Zone, Options.Seed + Services.size(), Options.Pool, Sharing);
    S.Pool->OnPermitDue = [this](TimePoint Due) {
      if (OnPermitDue)
        OnPermitDue(Due);
    };
    S.Pool->setEvacuatedZones(EvacuatedZones, absl::InfinitePast());
    S.Budget = std::make_shared<ExtraLoadBudget>(Options.ExtraLoad);
  }
  return S;
}

bool RelayState::updateSheet(RouteSheet Sheet, TimePoint Now) {
  if (Table != nullptr && Sheet.Version <= Table->sheet().Version)
    return false;
  Table = std::make_shared<const RouteTable>(std::move(Sheet));
  std::map<std::string, std::shared_ptr<RouteStats>> NewStats;
  for (const Route &R : Table->sheet().Routes) {
    auto Existing = Stats.extract(R.Name);
    if (!Existing.empty())
      NewStats.insert(std::move(Existing));
    else
      NewStats.try_emplace(R.Name, std::make_shared<RouteStats>());
  }
  Stats = std::move(NewStats);
  for (auto It = HomeStats.begin(); It != HomeStats.end();)
    It = It->first.empty() || Stats.count(It->first) != 0 ? std::next(It)
                                                          : HomeStats.erase(It);
  Limits.updateSheet(Table->sheet().Accounts, Now);
  updateConnectionShares(Now);
  return true;
}

void RelayState::updateConnectionShares(TimePoint Now) {
  for (auto &[Name, S] : Services) {
    int Limit = 1;
    if (Table != nullptr) {
      auto Configured = Table->sheet().Services.find(Name);
      if (Configured != Table->sheet().Services.end()) {
        Limit = Configured->second.ConnectionLimit;
        S.Pool->setWarmUpRate(Configured->second.WarmUpRate, Now);
      }
    }
    const int Others = Instances - HomeCount;
    S.Pool->setConnectionShare(
        SelfIsHome ? connectionShare(std::max(1, Limit - Others), HomeCount)
                   : 1,
        Now);
  }
}

int RelayState::budgetSharers(TimePoint Now) const {
  if (!SelfIsHome)
    return NoBudgetBase;
  return Sharing->known() ? std::max(HomeCount, Sharing->sharers(Now))
                          : HomeCount;
}

std::vector<ServerRef>
RelayState::applyFeedChanges(const std::vector<FeedChange> &Changes,
                             TimePoint Now) {
  std::vector<ServerRef> NewServers;
  for (const FeedChange &Change : Changes) {
    auto OldService = ServiceOf.find(Change.Id);
    const bool LeavesService =
        OldService != ServiceOf.end() &&
        (!Change.Server || Change.Server->Service != OldService->second);
    if (LeavesService) {
      service(OldService->second).Pool->remove(Change.Id, Now);
      ServiceOf.erase(OldService);
    }
    if (!Change.Server)
      continue;
    DiscoveredServer Info = *Change.Server;
    Info.Draining = Info.Draining || Leaving.contains(Info);
    ServiceOf[Change.Id] = Info.Service;
    BackendPool &Pool = *service(Info.Service).Pool;
    auto Previous = Pool.servers().find(Change.Id);
    const ServerRef OldServer =
        Previous == Pool.servers().end() ? nullptr : Previous->second;
    Pool.upsert(Info, Now);
    const ServerRef &NewServer = Pool.servers().at(Change.Id);
    if (NewServer == OldServer)
      continue;
    restoreRestrictions(NewServer);
    if (NewServer->AcceptsAttempts)
      NewServers.push_back(NewServer);
  }
  updateConnectionShares(Now);
  grantPermits(Now);
  return NewServers;
}

static bool isSameIncarnation(const PoolServer &A, const PoolServer &B) {
  return A.Info.Address == B.Info.Address &&
         A.Info.StartedAtMillis == B.Info.StartedAtMillis;
}

ServerRef RelayState::listedServer(const PoolServer &Server) {
  auto ItsService = ServiceOf.find(Server.Info.Id);
  if (ItsService == ServiceOf.end())
    return nullptr;
  const auto &Listed = service(ItsService->second).Pool->servers();
  auto Found = Listed.find(Server.Info.Id);
  return Found != Listed.end() && isSameIncarnation(*Found->second, Server)
             ? Found->second
             : nullptr;
}

bool RelayState::markLeaving(const ServerRef &Server) {
  Server->AcceptsAttempts = false;
  if (const ServerRef Listed = listedServer(*Server))
    Listed->AcceptsAttempts = false;
  return Leaving.add(Server->Info);
}

void RelayState::rememberDraining(
    const std::vector<DiscoveredServer> &Servers) {
  for (const DiscoveredServer &Server : Servers)
    Leaving.add(Server);
}

void RelayState::restoreRestrictions(const ServerRef &Server) {
  auto Found = RestrictedServers.find(Server->Info.Id);
  if (Found == RestrictedServers.end() ||
      !isSameIncarnation(*Found->second, *Server))
    return;
  Server->Pause = Found->second->Pause;
  Server->Limit = Found->second->Limit;
  Found->second = Server;
}

void RelayState::rememberRestrictions(ServerRef Listed, TimePoint Now) {
  for (auto It = RestrictedServers.begin(); It != RestrictedServers.end();) {
    const PoolServer &S = *It->second;
    const bool Limited =
        isLimited(S.Limit) && Now - S.Limit.NamedAt < LimitMemoryTime;
    It = isPaused(S.Pause, Now) || Limited ? std::next(It)
                                           : RestrictedServers.erase(It);
  }
  RestrictedServers[Listed->Info.Id] = std::move(Listed);
}

bool RelayState::limitServer(const ServerRef &Server,
                             std::optional<double> PerSecond, TimePoint Now) {
  if (!PerSecond && !isLimited(Server->Limit))
    return false;
  ServerRef Listed = listedServer(*Server);
  if (Listed == nullptr)
    Listed = Server;
  if (!PerSecond)
    return omitLimit(Listed->Limit, Now);
  const LimitShare Share = Sharing->shareOf(Listed->Info.Id, *PerSecond, Now);
  if (!nameLimit(Listed->Limit, *PerSecond, Share, Now))
    return false;
  rememberRestrictions(std::move(Listed), Now);
  return true;
}

bool RelayState::pauseServer(const ServerRef &Server, Duration Time,
                             TimePoint Now) {
  ServerRef Listed = listedServer(*Server);
  if (Listed == nullptr)
    Listed = Server;
  const bool Began = extendPause(Listed->Pause, Time, Now);
  rememberRestrictions(std::move(Listed), Now);
  return Began;
}

std::vector<ServerRef>
RelayState::setEvacuatedZones(const std::set<std::string> &Zones,
                              TimePoint Now) {
  EvacuatedZones = Zones;
  for (auto &[Name, S] : Services)
    S.Pool->setEvacuatedZones(Zones, Now);
  grantPermits(Now);
  return listedServers();
}

std::vector<ServerRef> RelayState::serversThatMayBeCold() const {
  std::vector<ServerRef> Out;
  for (const auto &[Name, S] : Services)
    for (const auto &[Id, Server] : S.Pool->servers())
      if (Server->Warm.RatePerSecond > 0 && Server->Warm.Unconfirmed &&
          Server->takesAttempts() && !Server->Unreachable)
        Out.push_back(Server);
  return Out;
}

bool RelayState::noteWarmUp(const ServerRef &Server, Duration Left,
                            TimePoint Now) {
  ServerRef Listed = listedServer(*Server);
  if (Listed == nullptr)
    Listed = Server;
  const bool Before = isCold(Listed->Warm, Now);
  noteWarmUpLeft(Listed->Warm, Left, Now);
  if (Left > absl::ZeroDuration())
    Listed->WarmUpEndsAt = Now + Left;
  grantPermits(Now);
  return Before != isCold(Listed->Warm, Now);
}

void RelayState::setInstanceCount(int Count, int NewHomeCount,
                                  bool NewSelfIsHome, TimePoint Now) {
  Instances = std::max(1, Count);
  HomeCount = std::clamp(NewHomeCount, 1, Instances);
  SelfIsHome = NewSelfIsHome;
  updateConnectionShares(Now);
  grantPermits(Now);
}

void RelayState::grantPermits(TimePoint Now) {
  for (auto &[Name, S] : Services)
    S.Pool->grantPermits(Now);
}

std::map<std::string, ServiceSnapshot>
RelayState::snapshot(TimePoint Now) const {
  std::map<std::string, ServiceSnapshot> Out;
  for (const auto &[Name, S] : Services) {
    ServiceSnapshot Snapshot = S.Pool->snapshot(Now);
    Snapshot.ExtraAttempts = S.Budget->available(budgetSharers(Now), Now);
    Out.emplace(Name, Snapshot);
  }
  return Out;
}

/// The usual time of \p RouteName in \p Stats; zero if it is not known.
static Duration
usualTime(const std::map<std::string, std::shared_ptr<RouteStats>> &Stats,
          const std::string &RouteName) {
  auto Found = Stats.find(RouteName);
  return Found != Stats.end() && Found->second->known()
             ? Found->second->expected()
             : absl::ZeroDuration();
}

Duration RelayState::expectedTime(const Route &R) const {
  return usualTime(Stats, R.Name);
}

Duration RelayState::expectedForwardTime(const Route &R) const {
  return usualTime(HomeStats, R.Name);
}

void RelayState::setAccount(RelayPlan &Plan, const Route &MatchedRoute,
                            const ClientAccount *Account) const {
  static const std::vector<std::string> AllRegions;
  Plan.Zones = allowedZones(MatchedRoute.Regions,
                            Account != nullptr ? Account->Regions : AllRegions,
                            Options.ZoneRegions);
  if (Account == nullptr)
    return;
  Plan.Account = Account->Name;
  Plan.AccountPriority = Account->Priority;
}

RelayPlan RelayState::plan(const Route &MatchedRoute, TimePoint Arrived,
                           Duration TimeLeft, Duration TransitTime,
                           const ClientAccount *Account) {
  RelayPlan Plan;
  Plan.MatchedRoute = &MatchedRoute;
  setAccount(Plan, MatchedRoute, Account);
  Plan.Stats = Stats.at(MatchedRoute.Name);
  Plan.Instances = HomeCount;
  Plan.BudgetSharers = budgetSharers(Arrived);
  Plan.Claims = Claims;
  Plan.ArrivalTime = Arrived;
  Plan.Deadline = Arrived + std::min(TimeLeft - Options.DeadlineMargin,
                                     MatchedRoute.Timeout);
  Plan.CallerDeadline = Arrived + TimeLeft;
  Plan.ObjectiveDeadline = std::min(
      Plan.Deadline, Arrived + MatchedRoute.Objective -
                         std::min(TransitTime, MatchedRoute.Objective / 4) -
                         Options.ObjectiveMargin);
  auto Add = [&](const std::string &Name) {
    const Service &S = service(Name);
    Plan.Targets.push_back(RelayTarget{Name, S.Pool, S.Budget});
  };
  if (MatchedRoute.Target == RouteTarget::Survey)
    for (const RouteService &S : MatchedRoute.Services)
      Add(S.Name);
  else if (MatchedRoute.Target == RouteTarget::Split)
    Add(MatchedRoute.Services[Splits.pick(MatchedRoute)].Name);
  else
    Add(MatchedRoute.Services[0].Name);
  return Plan;
}

} // namespace quetzallead
