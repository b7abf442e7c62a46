#include "core/relay/RelayState.h"
#include "quetzallead/ConnectionShare.h"
#include <algorithm>

namespace quetzallead {

RelayState::RelayState(RelayStateOptions GivenOptions)
    : Options(std::move(GivenOptions)), Instances(Options.AssumedInstances) {}

RelayState::Service &RelayState::service(const std::string &Name) {
  Service &S = Services[Name];
  if (S.Pool == nullptr) {
    S.Pool = std::make_shared<BackendPool>(
        Options.Zone, Options.Seed + Services.size(), Options.Pool);
    S.Budget = std::make_shared<ExtraLoadBudget>(Options.ExtraLoad);
  }
  return S;
}

bool RelayState::adopt(RouteSheet Sheet, TimePoint Now) {
  if (Table != nullptr && Sheet.Version <= Table->sheet().Version)
    return false;
  Table = std::make_shared<const RouteTable>(std::move(Sheet));
  std::map<std::string, std::shared_ptr<RouteStats>> Kept;
  for (const Route &R : Table->sheet().Routes) {
    std::shared_ptr<RouteStats> &Known = Stats[R.Name];
    Kept[R.Name] = Known != nullptr ? Known : std::make_shared<RouteStats>();
  }
  Stats = std::move(Kept);
  shareConnections(Now);
  return true;
}

void RelayState::shareConnections(TimePoint Now) {
  for (auto &[Name, S] : Services) {
    int Limit = 1;
    if (Table != nullptr) {
      auto Stated = Table->sheet().Services.find(Name);
      if (Stated != Table->sheet().Services.end())
        Limit = Stated->second.ConnectionLimit;
    }
    S.Pool->setConnectionShare(connectionShare(Limit, Instances), Now);
  }
}

std::vector<ServerRef> RelayState::apply(const std::vector<FeedChange> &Changes,
                                         TimePoint Now) {
  std::vector<ServerRef> Came;
  for (const FeedChange &Change : Changes) {
    auto Known = ServiceOf.find(Change.Id);
    const bool Moves =
        Known != ServiceOf.end() &&
        (!Change.Server || Change.Server->Service != Known->second);
    if (Moves) {
      service(Known->second).Pool->remove(Change.Id, Now);
      ServiceOf.erase(Known);
    }
    if (!Change.Server)
      continue;
    ServiceOf[Change.Id] = Change.Server->Service;
    BackendPool &Pool = *service(Change.Server->Service).Pool;
    auto Before = Pool.servers().find(Change.Id);
    const ServerRef Old =
        Before == Pool.servers().end() ? nullptr : Before->second;
    Pool.upsert(*Change.Server, Now);
    const ServerRef &After = Pool.servers().at(Change.Id);
    if (After != Old && After->Present)
      Came.push_back(After);
  }
  shareConnections(Now);
  serveQueues(Now);
  return Came;
}

void RelayState::setInstances(int Count, TimePoint Now) {
  Instances = std::max(1, Count);
  shareConnections(Now);
  serveQueues(Now);
}

void RelayState::serveQueues(TimePoint Now) {
  for (auto &[Name, S] : Services)
    S.Pool->serveQueue(Now);
}

std::map<std::string, ServiceSnapshot>
RelayState::snapshot(TimePoint Now) const {
  std::map<std::string, ServiceSnapshot> Out;
  for (const auto &[Name, S] : Services) {
    ServiceSnapshot Seen = S.Pool->snapshot(Now);
    Seen.ExtraAttempts = S.Budget->available(Instances, Now);
    Out.emplace(Name, Seen);
  }
  return Out;
}

RelayPlan RelayState::plan(const Route &Taken, TimePoint Arrived,
                           Duration TimeLeft) {
  RelayPlan Plan;
  Plan.Taken = &Taken;
  Plan.Stats = Stats.at(Taken.Name);
  Plan.Instances = Instances;
  Plan.Arrived = Arrived;
  Plan.Deadline =
      Arrived + std::min(TimeLeft - Options.DeadlineMargin, Taken.Timeout);
  Plan.CallerGone = Arrived + TimeLeft;
  Plan.AnswerBy =
      std::min(Plan.Deadline, Arrived + Taken.Objective - Options.AnswerMargin);
  auto Add = [&](const std::string &Name) {
    const Service &S = service(Name);
    Plan.Targets.push_back(RelayTarget{Name, S.Pool, S.Budget});
  };
  if (Taken.Target == RouteTarget::Survey)
    for (const RouteService &S : Taken.Services)
      Add(S.Name);
  else if (Taken.Target == RouteTarget::Split)
    Add(Taken.Services[Splits.pick(Taken)].Name);
  else
    Add(Taken.Services[0].Name);
  return Plan;
}

} // namespace quetzallead
