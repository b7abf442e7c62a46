#include "core/relay/RelayState.h"
#include "quetzallead/ConnectionShare.h"
#include <algorithm>

namespace quetzallead {

RelayState::RelayState(RelayStateOptions InitialOptions)
    : Options(std::move(InitialOptions)), Instances(Options.AssumedInstances) {}

RelayState::Service &RelayState::service(const std::string &Name) {
  Service &S = Services[Name];
  if (S.Pool == nullptr) {
    S.Pool = std::make_shared<BackendPool>(
        Options.Zone, Options.Seed + Services.size(), Options.Pool);
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
    std::shared_ptr<RouteStats> &Existing = Stats[R.Name];
    NewStats[R.Name] =
        Existing != nullptr ? Existing : std::make_shared<RouteStats>();
  }
  Stats = std::move(NewStats);
  updateConnectionShares(Now);
  return true;
}

void RelayState::updateConnectionShares(TimePoint Now) {
  for (auto &[Name, S] : Services) {
    int Limit = 1;
    if (Table != nullptr) {
      auto Configured = Table->sheet().Services.find(Name);
      if (Configured != Table->sheet().Services.end())
        Limit = Configured->second.ConnectionLimit;
    }
    S.Pool->setConnectionShare(connectionShare(Limit, Instances), Now);
  }
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
    ServiceOf[Change.Id] = Change.Server->Service;
    BackendPool &Pool = *service(Change.Server->Service).Pool;
    auto Previous = Pool.servers().find(Change.Id);
    const ServerRef OldServer =
        Previous == Pool.servers().end() ? nullptr : Previous->second;
    Pool.upsert(*Change.Server, Now);
    const ServerRef &NewServer = Pool.servers().at(Change.Id);
    if (NewServer != OldServer && NewServer->AcceptsAttempts)
      NewServers.push_back(NewServer);
  }
  updateConnectionShares(Now);
  grantPermits(Now);
  return NewServers;
}

void RelayState::setInstanceCount(int Count, TimePoint Now) {
  Instances = std::max(1, Count);
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
    Snapshot.ExtraAttempts = S.Budget->available(Instances, Now);
    Out.emplace(Name, Snapshot);
  }
  return Out;
}

RelayPlan RelayState::plan(const Route &MatchedRoute, TimePoint Arrived,
                           Duration TimeLeft) {
  RelayPlan Plan;
  Plan.MatchedRoute = &MatchedRoute;
  Plan.Stats = Stats.at(MatchedRoute.Name);
  Plan.Instances = Instances;
  Plan.ArrivalTime = Arrived;
  Plan.Deadline = Arrived + std::min(TimeLeft - Options.DeadlineMargin,
                                     MatchedRoute.Timeout);
  Plan.CallerDeadline = Arrived + TimeLeft;
  Plan.ObjectiveDeadline =
      std::min(Plan.Deadline,
               Arrived + MatchedRoute.Objective - Options.ObjectiveMargin);
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
