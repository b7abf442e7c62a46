#ifndef QUETZALLEAD_TESTS_RELAY_LOADWORLD_H
#define QUETZALLEAD_TESTS_RELAY_LOADWORLD_H

#include "core/relay/RelayState.h"
#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <random>
#include <string>
#include <vector>

namespace quetzallead {

/// A seeded load on the decision core in virtual time: callers that arrive at
/// random, and servers with slots and a queue of their own, which they work off
/// in the order of arrival.
class LoadWorld {
public:
  struct Server {
    std::string Service;
    /// Time a request takes in a slot, as a multiple of the work.
    double Slowness = 1;
    bool Refuses = false;
    /// Share of the answers that are lost after the request has run.
    double LossShare = 0;
    int Running = 0;
    std::deque<std::function<void()>> Queue;
  };
  struct Tally {
    int Asked = 0;
    int InTime = 0;
    int Late = 0;
    int Failed = 0;
    /// Refused at arrival, within a tenth of the objective.
    int RefusedAtOnce = 0;
  };

  static constexpr int Slots = 2;
  static constexpr std::size_t ServerQueue = 12;

  explicit LoadWorld(std::uint64_t Seed) : Engine(Seed) {
    RelayStateOptions Options;
    Options.Zone = "a";
    Options.ExtraLoad.Share = 0.2;
    Options.ExtraLoad.Base = 50;
    Options.AssumedInstances = 1;
    Options.AnswerMargin = absl::ZeroDuration();
    Options.Seed = Seed;
    State = std::make_unique<RelayState>(Options);
    Taken.Name = "r";
    Taken.Host = "h";
    Taken.Prefix = "/";
    Taken.MaxAttempts = 2;
    Taken.Timeout = absl::Milliseconds(600);
    Taken.Objective = absl::Milliseconds(100);
    Taken.RecordsWanted = 5;
    Taken.LeastCoverage = 0.89;
  }

  void addShard(const std::string &Service, int Replicas) {
    Taken.Services.push_back(RouteService{Service, 1});
    Taken.Target =
        Taken.Services.size() > 1 ? RouteTarget::Survey : RouteTarget::Single;
    std::vector<FeedChange> Changes;
    for (int I = 0; I < Replicas; ++I) {
      DiscoveredServer S;
      S.Id = Service + "-" + std::to_string(I);
      S.Service = Service;
      S.Address = "127.0.0.1:1";
      S.Zone = "a";
      S.Slots = Slots;
      Servers[S.Id].Service = Service;
      Changes.push_back(FeedChange{S.Id, S});
    }
    State->apply(Changes, Now);
  }

  /// Plays \p Time with \p PerSecond arrivals, then lets all end.
  Tally play(double PerSecond, Duration Time, Duration GivenWork) {
    Work = GivenWork;
    RouteSheet Sheet;
    Sheet.Version = 1;
    Sheet.Routes = {Taken};
    for (const RouteService &S : Taken.Services)
      Sheet.Services[S.Name].ConnectionLimit = 40;
    State->adopt(Sheet, Now);
    std::exponential_distribution<double> Gap(PerSecond);
    const TimePoint End = Now + Time;
    for (TimePoint At = Now; At < End; At += absl::Seconds(Gap(Engine)))
      at(At, [this] { arrive(); });
    while (!Events.empty()) {
      auto First = Events.begin();
      Now = std::max(Now, First->first);
      auto Run = std::move(First->second);
      Events.erase(First);
      Run();
    }
    return Result;
  }

  std::map<std::string, Server> Servers;
  Route Taken;

private:
  struct Live {
    std::unique_ptr<RelayRequest> Request;
    TimePoint Arrived;
    TimePoint TimerAt = absl::InfiniteFuture();
  };

  void at(TimePoint When, std::function<void()> Run) {
    Events.emplace(When, std::move(Run));
  }

  void arrive() {
    ++Result.Asked;
    auto L = std::make_shared<Live>();
    L->Arrived = Now;
    L->Request = std::make_unique<RelayRequest>(State->plan(
        State->table()->sheet().Routes[0], Now, absl::Milliseconds(600)));
    std::weak_ptr<Live> Weak = L;
    L->Request->OnPlaced = [this, Weak](const RelayActions &Actions) {
      if (auto Self = Weak.lock())
        perform(Self, Actions);
    };
    RelayActions Out;
    L->Request->start(Now, Out);
    perform(L, Out);
  }

  void perform(const std::shared_ptr<Live> &L, const RelayActions &Actions) {
    for (const RelayAction &Action : Actions) {
      if (auto *Send = std::get_if<SendRelayAttempt>(&Action))
        send(L, Send->Attempt, Send->Server->Info.Id);
      else if (auto *Answer = std::get_if<AnswerCaller>(&Action))
        count(*L, Answer->Verdict);
    }
    const TimePoint Due = L->Request->nextTimer();
    if (Due == L->TimerAt)
      return;
    L->TimerAt = Due;
    if (Due == absl::InfiniteFuture())
      return;
    at(Due, [this, L, Due] {
      if (L->TimerAt != Due)
        return;
      L->TimerAt = absl::InfiniteFuture();
      RelayActions Out;
      L->Request->onTimer(Now, Out);
      perform(L, Out);
    });
  }

  void send(const std::shared_ptr<Live> &L, std::size_t Attempt,
            const std::string &Id) {
    Server &S = Servers[Id];
    if (S.Refuses || S.Queue.size() >= ServerQueue) {
      at(Now + absl::Milliseconds(1),
         [this, L, Attempt, Id] { end(L, Attempt, Id, AttemptResult::Shed); });
      return;
    }
    S.Queue.push_back([this, L, Attempt, Id] { run(L, Attempt, Id); });
    startNext(S);
  }

  void startNext(Server &S) {
    if (S.Running >= Slots || S.Queue.empty())
      return;
    ++S.Running;
    auto Next = std::move(S.Queue.front());
    S.Queue.pop_front();
    Next();
  }

  void run(const std::shared_ptr<Live> &L, std::size_t Attempt,
           const std::string &Id) {
    std::uniform_real_distribution<double> Spread(0.7, 1.3);
    const Duration Time = Work * Servers[Id].Slowness * Spread(Engine);
    at(Now + Time, [this, L, Attempt, Id] {
      Server &S = Servers[Id];
      --S.Running;
      startNext(S);
      std::bernoulli_distribution Lost(S.LossShare);
      end(L, Attempt, Id,
          Lost(Engine) ? AttemptResult::Lost : AttemptResult::Answered);
    });
  }

  void end(const std::shared_ptr<Live> &L, std::size_t Attempt,
           const std::string &Id, AttemptResult Outcome) {
    const Server &S = Servers[Id];
    AttemptEnd End;
    End.Result = Outcome;
    End.Load = LoadReport{Slots, S.Running, static_cast<int>(S.Queue.size())};
    if (Outcome == AttemptResult::Answered) {
      End.Answer = std::make_shared<BackendAnswer>();
      End.Answer->Status = 200;
      End.Answer->Stamp = Id;
    }
    RelayActions Out;
    L->Request->onEnd(Attempt, End, Now, Out);
    perform(L, Out);
    L->Request->poolOf(Attempt)->serveQueue(Now);
  }

  void count(const Live &L, const RelayVerdict &Verdict) {
    const Duration Took = Now - L.Arrived;
    const bool Served = Verdict.Outcome == RelayOutcome::Merged ||
                        Verdict.Outcome == RelayOutcome::Relayed;
    if (!Served) {
      ++Result.Failed;
      const bool Unrun = Verdict.Outcome == RelayOutcome::Refused ||
                         Verdict.Outcome == RelayOutcome::Unservable;
      if (Unrun && Took <= Taken.Objective / 10)
        ++Result.RefusedAtOnce;
    } else if (Took <= Taken.Objective) {
      ++Result.InTime;
    } else {
      ++Result.Late;
    }
  }

  pcg32 Engine;
  std::unique_ptr<RelayState> State;
  TimePoint Now = absl::UnixEpoch() + absl::Hours(1);
  Duration Work;
  std::multimap<TimePoint, std::function<void()>> Events;
  Tally Result;
};

} // namespace quetzallead

#endif // QUETZALLEAD_TESTS_RELAY_LOADWORLD_H
