#include "model/ModelWorld.h"
#include "absl/strings/str_cat.h"
#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <pcg_random.hpp>
#include <random>

namespace quetzallead {

namespace {

/// Time that requests and responses are in transit to and from callers.
constexpr Duration CallerTransitTime = absl::Milliseconds(4);
/// A client sees a refused connection after this.
constexpr Duration ConnectTime = absl::Milliseconds(1);
/// Between two tries to reach a server that is out of reach.
constexpr Duration ReconnectPeriod = absl::Milliseconds(200);
/// Callers wait for a refusal's time up to this part of what they have left.
constexpr double HeededPart = 1.0 / 3;
constexpr Duration WindowLength = absl::Milliseconds(500);
/// Fraction by which work varies around its mean.
constexpr double WorkSpread = 0.3;

struct Job {
  Duration Work;
  /// Called at the server when the work is done, or lost.
  std::function<void(bool Done)> OnEnd;
};

struct ModelServer {
  std::string Id;
  std::string Zone;
  std::size_t Shard = 0;
  Duration PausePhase;
  double Slowness = 1;
  double LossShare = 0;
  bool Refuses = false;
  bool Down = false;
  /// Jobs in a slot, by number.
  std::map<int, Job> Running;
  int NextJob = 0;
  std::deque<Job> Queue;
};

struct ModelInstance {
  std::string Zone;
  std::unique_ptr<RelayState> State;
  bool Cut = false;
  /// Counts the restarts; callers of before have lost their connection.
  int Life = 0;
};

/// One request of a caller, over all its tries.
struct Call {
  const ModelRequestKind *Kind = nullptr;
  std::string Zone;
  TimePoint Asked;
  int RetriesLeft = 0;
  int StormLeft = 0;
};

/// One try of a call at one instance.
struct Try {
  std::shared_ptr<Call> Owner;
  std::size_t Instance = 0;
  int Life = 0;
  TimePoint Arrived;
  std::unique_ptr<RelayRequest> Request;
  TimePoint TimerAt = absl::InfiniteFuture();
  bool Over = false;
};

class World {
public:
  explicit World(const ModelSetup &GivenSetup)
      : Setup(GivenSetup), Engine(GivenSetup.Seed) {}

  ModelReport play();

private:
  using TryPtr = std::shared_ptr<Try>;

  double draw() { return std::uniform_real_distribution<double>(0, 1)(Engine); }
  std::size_t draw(std::size_t Count) {
    return Engine(static_cast<std::uint32_t>(Count));
  }
  void at(TimePoint When, std::function<void()> Run) {
    Events.emplace(When, std::move(Run));
  }

  void makeServers();
  void startInstance(ModelInstance &I);
  void scheduleArrivals();
  void schedule(const Disturbance &D);
  void apply(const Disturbance &D, bool Begin,
             const std::vector<std::size_t> &Chosen);
  std::vector<std::size_t> choose(const Disturbance &D);

  void arrive();
  void ask(const std::shared_ptr<Call> &C);
  void perform(const TryPtr &T, const RelayActions &Actions);
  void rearm(const TryPtr &T);
  void send(const TryPtr &T, const SendRelayAttempt &Action);
  void work(const TryPtr &T, std::size_t Attempt, ModelServer &S);
  void startNext(ModelServer &S);
  static void loseWork(ModelServer &S);
  TimePoint finishTime(const ModelServer &S, Duration Work) const;
  void end(const TryPtr &T, std::size_t Attempt, AttemptResult Result,
           const ModelServer &S);
  void reconnect(std::size_t Instance, const ServerRef &Known,
                 const ModelServer &S);
  bool reaches(const ModelInstance &I, const ModelServer &S) const {
    return !S.Down && (!I.Cut || I.Zone == S.Zone);
  }
  Duration delay(const ModelInstance &I, const ModelServer &S) const {
    return I.Zone == S.Zone ? absl::ZeroDuration() : Setup.ZoneDelay;
  }
  void onVerdict(const TryPtr &T, const RelayResult &Verdict);
  void tryAgain(const std::shared_ptr<Call> &C, bool Unrun,
                Duration RetryAfter);
  template <typename Fn> void tally(const Call &C, Fn Count);

  const ModelSetup &Setup;
  pcg32 Engine;
  TimePoint Now = absl::UnixEpoch() + absl::Hours(1);
  const TimePoint Start = Now;
  std::multimap<TimePoint, std::function<void()>> Events;
  std::vector<ModelServer> Servers;
  std::map<std::string, std::size_t> ServerIndex;
  std::vector<ModelInstance> Instances;
  RouteSheet Sheet;
  double LoadFactor = 1;
  int StormTries = 0;
  ModelReport Report;
};

std::string shardName(std::size_t Shard) { return absl::StrCat("s", Shard); }

void World::makeServers() {
  Sheet.Version = 1;
  for (std::size_t Shard = 0; Shard < Setup.Replicas.size(); ++Shard) {
    Sheet.Services[shardName(Shard)].ConnectionLimit = Setup.ConnectionLimit;
    for (int Replica = 0; Replica < Setup.Replicas[Shard]; ++Replica) {
      ModelServer S;
      S.Id = absl::StrCat(shardName(Shard), "-", Replica);
      S.Zone = Setup.Zones[(Shard + static_cast<std::size_t>(Replica)) %
                           Setup.Zones.size()];
      S.Shard = Shard;
      S.PausePhase = Setup.PausePeriod * draw();
      ServerIndex[S.Id] = Servers.size();
      Servers.push_back(std::move(S));
    }
  }
  for (const ModelRequestKind &Kind : Setup.Kinds) {
    Route Taken = Kind.Taken;
    Taken.Host = "h";
    Taken.Prefix = "/";
    const std::size_t Wanted = Kind.Survey ? Setup.Replicas.size() : 1;
    for (std::size_t Shard = 0; Shard < Wanted; ++Shard)
      Taken.Services.push_back(RouteService{shardName(Shard), 1});
    Taken.Target = Wanted > 1 ? RouteTarget::Survey : RouteTarget::Single;
    Sheet.Routes.push_back(std::move(Taken));
  }
}

void World::startInstance(ModelInstance &I) {
  RelayStateOptions Options = Setup.Options;
  Options.Zone = I.Zone;
  Options.AssumedInstances = Setup.Instances;
  Options.Seed = Engine();
  I.State = std::make_unique<RelayState>(Options);
  std::vector<FeedChange> Changes;
  for (const ModelServer &S : Servers) {
    DiscoveredServer Info;
    Info.Id = S.Id;
    Info.Service = shardName(S.Shard);
    Info.Address = "127.0.0.1:1";
    Info.Zone = S.Zone;
    Info.Slots = Setup.Slots;
    Changes.push_back(FeedChange{S.Id, Info});
  }
  I.State->applyFeedChanges(Changes, Now);
  I.State->updateSheet(Sheet, Now);
}

std::vector<std::size_t> World::choose(const Disturbance &D) {
  std::vector<std::size_t> Chosen;
  if (D.Kind == DisturbanceKind::Restart) {
    for (std::size_t I = 0; I < Instances.size(); ++I)
      if (draw() < D.Share)
        Chosen.push_back(I);
    return Chosen;
  }
  for (std::size_t I = 0; I < Servers.size(); ++I) {
    const bool Named = std::find(D.Targets.begin(), D.Targets.end(),
                                 Servers[I].Id) != D.Targets.end();
    if (Named || (D.Targets.empty() && draw() < D.Share))
      Chosen.push_back(I);
  }
  return Chosen;
}

void World::apply(const Disturbance &D, bool Begin,
                  const std::vector<std::size_t> &Chosen) {
  switch (D.Kind) {
  case DisturbanceKind::Slow:
    for (std::size_t I : Chosen)
      Servers[I].Slowness = Begin ? D.Strength : 1;
    return;
  case DisturbanceKind::Down:
    for (std::size_t I : Chosen) {
      Servers[I].Down = Begin;
      loseWork(Servers[I]);
    }
    return;
  case DisturbanceKind::Shed:
    for (std::size_t I : Chosen)
      Servers[I].Refuses = Begin;
    return;
  case DisturbanceKind::Lossy:
    for (std::size_t I : Chosen)
      Servers[I].LossShare = Begin ? D.Strength : 0;
    return;
  case DisturbanceKind::Load:
    LoadFactor = Begin ? D.Strength : 1;
    return;
  case DisturbanceKind::Cut:
    for (ModelInstance &I : Instances)
      if (std::find(D.Targets.begin(), D.Targets.end(), I.Zone) !=
          D.Targets.end())
        I.Cut = Begin;
    return;
  case DisturbanceKind::Restart:
    for (std::size_t I : Chosen)
      if (Begin) {
        ++Instances[I].Life;
        startInstance(Instances[I]);
      }
    return;
  case DisturbanceKind::Storm:
    StormTries = Begin ? static_cast<int>(D.Strength) : 0;
    return;
  }
}

void World::schedule(const Disturbance &D) {
  const std::vector<std::size_t> Chosen = choose(D);
  at(Start + D.At, [this, &D, Chosen] { apply(D, true, Chosen); });
  if (D.For != absl::InfiniteDuration())
    at(Start + D.At + D.For, [this, &D, Chosen] { apply(D, false, Chosen); });
}

void World::scheduleArrivals() {
  const double Rate = Setup.RequestsPerSecond * LoadFactor;
  const TimePoint Next =
      Now + absl::Seconds(std::exponential_distribution<double>(Rate)(Engine));
  if (Next >= Start + Setup.Length)
    return;
  at(Next, [this] {
    arrive();
    scheduleArrivals();
  });
}

void World::arrive() {
  auto C = std::make_shared<Call>();
  double Sum = 0;
  for (const ModelRequestKind &Kind : Setup.Kinds)
    Sum += Kind.Share;
  double At = draw() * Sum;
  for (const ModelRequestKind &Kind : Setup.Kinds) {
    C->Kind = &Kind;
    At -= Kind.Share;
    if (At < 0)
      break;
  }
  C->Zone = Setup.Zones[draw(Setup.Zones.size())];
  C->Asked = Now;
  C->RetriesLeft = C->Kind->Retries;
  C->StormLeft = StormTries;
  tally(*C, [](ModelTally &T) { ++T.Asked; });
  ask(C);
}

void World::ask(const std::shared_ptr<Call> &C) {
  std::vector<std::size_t> Near;
  for (std::size_t I = 0; I < Instances.size(); ++I)
    if (Instances[I].Zone == C->Zone)
      Near.push_back(I);
  auto T = std::make_shared<Try>();
  T->Owner = C;
  T->Instance = Near.empty() ? draw(Instances.size()) : Near[draw(Near.size())];
  ModelInstance &I = Instances[T->Instance];
  T->Life = I.Life;
  T->Arrived = Now;
  const auto Index = static_cast<std::size_t>(C->Kind - Setup.Kinds.data());
  T->Request = std::make_unique<RelayRequest>(
      I.State->plan(I.State->table()->sheet().Routes[Index], Now,
                    C->Asked + C->Kind->Patience - Now, CallerTransitTime));
  std::weak_ptr<Try> Weak = T;
  T->Request->OnDequeued = [this, Weak](const RelayActions &Actions) {
    if (auto Placed = Weak.lock())
      perform(Placed, Actions);
  };
  RelayActions Out;
  T->Request->start(Now, Out);
  perform(T, Out);
}

void World::perform(const TryPtr &T, const RelayActions &Actions) {
  for (const RelayAction &Action : Actions) {
    if (auto *Send = std::get_if<SendRelayAttempt>(&Action))
      send(T, *Send);
    else if (auto *Answer = std::get_if<RespondToCaller>(&Action))
      onVerdict(T, Answer->Result);
  }
  rearm(T);
}

void World::rearm(const TryPtr &T) {
  const TimePoint Due = T->Request->nextTimer();
  if (Due == T->TimerAt)
    return;
  T->TimerAt = Due;
  if (Due == absl::InfiniteFuture())
    return;
  at(Due, [this, T, Due] {
    if (T->TimerAt != Due)
      return;
    T->TimerAt = absl::InfiniteFuture();
    if (T->Life != Instances[T->Instance].Life) {
      // The instance is gone; its caller sees that the connection ends.
      onVerdict(T, RelayResult());
      return;
    }
    RelayActions Out;
    T->Request->onTimer(Now, Out);
    perform(T, Out);
  });
}

void World::send(const TryPtr &T, const SendRelayAttempt &Action) {
  ++(Action.Cause == AttemptCause::First ? Report.FirstAttempts
                                         : Report.ExtraAttempts);
  ModelServer &S = Servers[ServerIndex.at(Action.Server->Info.Id)];
  const ModelInstance &I = Instances[T->Instance];
  const std::size_t Attempt = Action.Attempt;
  if (!reaches(I, S)) {
    at(Now + ConnectTime, [this, T, Attempt, &S, Known = Action.Server] {
      Known->Unreachable = true;
      reconnect(T->Instance, Known, S);
      end(T, Attempt, AttemptResult::NotSent, S);
    });
    return;
  }
  at(Now + delay(I, S), [this, T, Attempt, &S] { work(T, Attempt, S); });
}

void World::reconnect(std::size_t Instance, const ServerRef &Known,
                      const ModelServer &S) {
  at(Now + ReconnectPeriod, [this, Instance, Known, &S] {
    if (reaches(Instances[Instance], S))
      Known->Unreachable = false;
    else if (Now < Start + Setup.Length)
      reconnect(Instance, Known, S);
  });
}

void World::work(const TryPtr &T, std::size_t Attempt, ModelServer &S) {
  const Duration Back = delay(Instances[T->Instance], S);
  if (S.Refuses || S.Queue.size() >= Setup.ServerQueue) {
    at(Now + ConnectTime + Back,
       [this, T, Attempt, &S] { end(T, Attempt, AttemptResult::Shed, S); });
    return;
  }
  const Duration Mean = T->Owner->Kind->Work;
  const double Factor = 1 + WorkSpread * (2 * draw() - 1);
  S.Queue.push_back(
      Job{Mean * Factor, [this, T, Attempt, &S, Back](bool Done) {
            const bool Lost = !Done || draw() < S.LossShare;
            at(Now + Back, [this, T, Attempt, &S, Lost] {
              end(T, Attempt,
                  Lost ? AttemptResult::Lost : AttemptResult::Answered, S);
            });
          }});
  startNext(S);
}

TimePoint World::finishTime(const ModelServer &S, Duration Work) const {
  if (Setup.PauseLength <= absl::ZeroDuration())
    return Now + Work;
  TimePoint At = Now;
  for (;;) {
    const Duration Phase =
        absl::Nanoseconds(absl::ToInt64Nanoseconds(At - Start + S.PausePhase) %
                          absl::ToInt64Nanoseconds(Setup.PausePeriod));
    if (Phase < Setup.PauseLength) {
      At += Setup.PauseLength - Phase;
      continue;
    }
    const Duration Free = Setup.PausePeriod - Phase;
    if (Work <= Free)
      return At + Work;
    Work -= Free;
    At += Free;
  }
}

void World::startNext(ModelServer &S) {
  while (static_cast<int>(S.Running.size()) < Setup.Slots && !S.Queue.empty()) {
    const int Number = S.NextJob++;
    at(finishTime(S, S.Queue.front().Work * S.Slowness), [this, &S, Number] {
      auto Found = S.Running.find(Number);
      if (Found == S.Running.end())
        return;
      const Job Ended = std::move(Found->second);
      S.Running.erase(Found);
      startNext(S);
      Ended.OnEnd(true);
    });
    S.Running.emplace(Number, std::move(S.Queue.front()));
    S.Queue.pop_front();
  }
}

void World::loseWork(ModelServer &S) {
  std::vector<Job> Lost;
  for (auto &[Number, Running] : S.Running)
    Lost.push_back(std::move(Running));
  std::move(S.Queue.begin(), S.Queue.end(), std::back_inserter(Lost));
  S.Running.clear();
  S.Queue.clear();
  for (const Job &J : Lost)
    J.OnEnd(false);
}

void World::end(const TryPtr &T, std::size_t Attempt, AttemptResult Result,
                const ModelServer &S) {
  if (T->Life != Instances[T->Instance].Life)
    return;
  AttemptEnd End;
  End.Result = Result;
  if (Result != AttemptResult::NotSent)
    End.Load = LoadReport{Setup.Slots, static_cast<int>(S.Running.size()),
                          static_cast<int>(S.Queue.size())};
  if (Result == AttemptResult::Answered) {
    End.Response = std::make_shared<BackendResponse>();
    End.Response->Status = 200;
    End.Response->Stamp = S.Id;
  }
  RelayActions Out;
  T->Request->onAttemptEnd(Attempt, End, Now, Out);
  perform(T, Out);
  T->Request->poolOf(Attempt)->grantPermits(Now);
}

template <typename Fn> void World::tally(const Call &C, Fn Count) {
  Count(Report.All);
  Count(Report.Kinds[C.Kind->Taken.Name]);
  Count(Report.Zones[C.Zone]);
  const auto Window =
      static_cast<std::size_t>((C.Asked - Start) / WindowLength);
  if (Report.Windows.size() <= Window)
    Report.Windows.resize(Window + 1);
  Count(Report.Windows[Window]);
}

void World::onVerdict(const TryPtr &T, const RelayResult &Verdict) {
  if (T->Over)
    return;
  T->Over = true;
  const Call &C = *T->Owner;
  const Duration Took = Now - C.Asked;
  if (Verdict.Outcome == RelayOutcome::Merged ||
      Verdict.Outcome == RelayOutcome::Relayed) {
    const double Answers = static_cast<double>(Verdict.Responses.size());
    const double Covered =
        Answers / (Answers + static_cast<double>(Verdict.MissingParts));
    const bool InTime = Took <= C.Kind->Taken.Objective;
    tally(C, [&](ModelTally &Sum) {
      ++(InTime ? Sum.InTime : Sum.Late);
      Sum.Coverage += Covered;
    });
    return;
  }
  const bool Unrun = Verdict.Outcome == RelayOutcome::Rejected ||
                     Verdict.Outcome == RelayOutcome::Unservable;
  if (Unrun)
    tally(C, [&](ModelTally &Sum) {
      const Duration Told = Now - T->Arrived;
      ++Sum.Refusals;
      Sum.RefusalTime += Told;
      if (Told <= C.Kind->Taken.Objective / 10)
        ++Sum.RefusedAtOnce;
    });
  tryAgain(T->Owner, Unrun, Verdict.RetryAfter);
}

void World::tryAgain(const std::shared_ptr<Call> &C, bool Unrun,
                     Duration RetryAfter) {
  const Duration Left = C->Asked + C->Kind->Patience - Now;
  const bool Allowed = Unrun || C->Kind->Taken.Kind == RequestKind::Idempotent;
  const bool Storms = C->StormLeft > 0;
  if (Left <= absl::ZeroDuration() || !Allowed ||
      (!Storms && C->RetriesLeft <= 0)) {
    tally(*C, [](ModelTally &T) { ++T.Failed; });
    return;
  }
  --(Storms ? C->StormLeft : C->RetriesLeft);
  const Duration Wait =
      Storms ? ConnectTime : std::min(RetryAfter, Left * HeededPart);
  at(Now + Wait, [this, C] { ask(C); });
}

ModelReport World::play() {
  makeServers();
  for (int I = 0; I < Setup.Instances; ++I) {
    ModelInstance Fresh;
    Fresh.Zone = Setup.Zones[static_cast<std::size_t>(I) % Setup.Zones.size()];
    startInstance(Fresh);
    Instances.push_back(std::move(Fresh));
  }
  for (const Disturbance &D : Setup.Disturbances)
    schedule(D);
  scheduleArrivals();
  while (!Events.empty()) {
    auto First = Events.begin();
    Now = std::max(Now, First->first);
    auto Run = std::move(First->second);
    Events.erase(First);
    Run();
  }
  return std::move(Report);
}

} // namespace

ModelReport playModel(const ModelSetup &Setup) { return World(Setup).play(); }

} // namespace quetzallead
