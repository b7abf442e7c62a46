#include "core/relay/BackendPool.h"
#include <algorithm>
#include <cmath>

namespace quetzallead {

/// Weight of a new sample in a server's slowness.
static constexpr double SlownessWeight = 0.25;
/// Slowness is kept within these bounds, so that one sample cannot rule a
/// server out for good.
static constexpr double LeastSlowness = 0.4;
static constexpr double MostSlowness = 30;
/// An answer this many times later than expected is a slow one.
static constexpr double SlowRatio = 2.5;
/// Slowness that is not confirmed fades with this time constant, doubled for
/// each slow answer in a row: one pause is forgotten soon, a slow server late.
static constexpr Duration FirstFade = absl::Milliseconds(400);
static constexpr int MostFadeDoublings = 4;
/// Slow answers in a row that are taken for what will go on.
static constexpr int ConfirmingAnswers = 3;
/// A load report counts for nothing once it is this old.
static constexpr Duration ReportLife = absl::Milliseconds(300);
/// Extra time when a connection has to be set up first.
static constexpr Duration ConnectPenalty = absl::Milliseconds(4);
/// Slowness assumed of a server in its warm-up.
static constexpr double ColdSlowness = 1.6;
/// A score is spread by this share, so that instances do not all pick the
/// server that was idle a moment ago.
static constexpr double ScoreSpread = 0.15;
/// An attempt is overdue after this multiple of its expected time.
static constexpr double OverdueRatio = 3.0;
/// Weight of a new outcome in a server's loss rate, and the time constant with
/// which the rate fades when nothing is sent.
static constexpr double LossWeight = 0.2;
static constexpr Duration LossFade = absl::Seconds(3);
/// Expected times that a certain loss is worth: a repeat costs a few, a request
/// that cannot be repeated is lost.
static constexpr double LossCost = 4;
static constexpr double FinalLossCost = 40;
/// Rest after a failure, doubled for each further one in a row.
static constexpr Duration FirstRest = absl::Milliseconds(100);
static constexpr Duration LongestRest = absl::Seconds(2);
/// Broken answers in a row after which a server rests.
static constexpr int FailuresToRest = 2;
/// Rest after a refusal, in multiples of the expected time.
static constexpr double ShedRest = 1.0;
/// Requests that may wait for one service.
static constexpr std::size_t QueueLimit = 64;

BackendPool::BackendPool(std::string GivenZone, std::uint64_t Seed,
                         PoolPolicy GivenPolicy)
    : Zone(std::move(GivenZone)), Policy(GivenPolicy), Engine(Seed) {}

void BackendPool::upsert(const DiscoveredServer &Info, TimePoint Now) {
  ServerRef &S = Servers[Info.Id];
  const bool NewLife = S == nullptr || S->Info.Address != Info.Address ||
                       (Info.StartedAtMillis != 0 &&
                        S->Info.StartedAtMillis != Info.StartedAtMillis);
  if (NewLife) {
    if (S != nullptr)
      S->Present = false;
    S = std::make_shared<PoolServer>();
  }
  S->Info = Info;
  S->Present = !Info.Draining;
  if (Info.WarmUpLeft > absl::ZeroDuration())
    S->WarmAt = Now + Info.WarmUpLeft;
}

void BackendPool::remove(const std::string &Id, TimePoint) {
  auto Known = Servers.find(Id);
  if (Known == Servers.end())
    return;
  Known->second->Present = false;
  Servers.erase(Known);
}

void BackendPool::setConnectionShare(int Share, TimePoint) {
  ConnectionShare = std::max(1, Share);
}

bool BackendPool::eligible(const PoolServer &S,
                           const PlaceRequest &Request) const {
  if (!S.Present)
    return false;
  return std::none_of(Request.Excluded.begin(), Request.Excluded.end(),
                      [&](const ServerRef &E) { return E.get() == &S; });
}

ServerStanding BackendPool::standing(const PoolServer &S, TimePoint Now) {
  if (!S.Present)
    return ServerStanding::Leaving;
  if (S.Unreachable)
    return ServerStanding::Unreachable;
  if (Now < S.RestUntil)
    return ServerStanding::Resting;
  return S.overdue(Now) ? ServerStanding::Overdue : ServerStanding::Sound;
}

ServiceSnapshot BackendPool::snapshot(TimePoint Now) const {
  ServiceSnapshot Out;
  for (const auto &[Id, S] : Servers) {
    ++Out.Servers[static_cast<std::size_t>(standing(*S, Now))];
    Out.InFlight += S->Pending.size();
    Out.IdleConnections += static_cast<std::size_t>(S->IdleConnections);
  }
  Out.Queued = Queue.size();
  Out.ConnectionShare = ConnectionShare;
  return Out;
}

double BackendPool::slowness(const PoolServer &S, TimePoint Now) {
  double Value = S.Slowness;
  if (Value > 1) {
    const int Doublings = std::min(S.SlowStreak, MostFadeDoublings);
    const Duration Fade = FirstFade * static_cast<double>(1 << Doublings);
    const double Age = absl::FDivDuration(Now - S.SlownessAt, Fade);
    Value = 1 + (Value - 1) * std::exp(-std::max(0.0, Age));
  }
  return Now < S.WarmAt ? std::max(Value, ColdSlowness) : Value;
}

int BackendPool::limit(const PoolServer &S, TimePoint Now) const {
  const bool Queues = Now - S.ReportedAt < ReportLife &&
                      S.Reported.Queued >= std::max(1, S.Info.Slots);
  return Queues ? 1 : ConnectionShare;
}

double BackendPool::loadAhead(const PoolServer &S, TimePoint Now) {
  const double Fresh = 1.0 - absl::FDivDuration(Now - S.ReportedAt, ReportLife);
  double Others = 0;
  if (Fresh > 0)
    Others =
        Fresh * std::max(0, S.Reported.Busy + S.Reported.Queued - S.inFlight());
  return (S.inFlight() + Others) / std::max(1, S.Info.Slots);
}

Duration BackendPool::completion(const PoolServer &S, const RouteStats &Stats,
                                 TimePoint Now) const {
  return Stats.expected() * slowness(S, Now) * (1.0 + loadAhead(S, Now));
}

static double lossRate(const PoolServer &S, TimePoint Now) {
  if (S.LossRate <= 0)
    return 0;
  return S.LossRate *
         std::exp(-absl::FDivDuration(Now - S.LossRateAt, LossFade));
}

static void learnLoss(PoolServer &S, bool Lost, TimePoint Now) {
  S.LossRate = lossRate(S, Now) * (1 - LossWeight) + (Lost ? LossWeight : 0);
  S.LossRateAt = Now;
}

double BackendPool::score(const PoolServer &S, const PlaceRequest &Request,
                          TimePoint Now) const {
  Duration Expected = completion(S, *Request.Stats, Now);
  const double Cost =
      Request.Kind == RequestKind::AtMostOnce ? FinalLossCost : LossCost;
  const double Loss = lossRate(S, Now);
  Expected *= 1.0 + Cost * Loss;
  Expected += Request.Objective * (Policy.LossShare * Loss);
  if (S.Info.Zone != Zone)
    Expected += Request.Objective * Policy.OwnZoneShare;
  if (S.IdleConnections <= 0)
    Expected += ConnectPenalty;
  return absl::ToDoubleMicroseconds(Expected);
}

namespace {

/// Servers of an earlier tier are chosen before those of a later one.
enum class Tier { Sound, Overdue, Last };

} // namespace

static Tier tierOf(ServerStanding Standing) {
  switch (Standing) {
  case ServerStanding::Sound:
    return Tier::Sound;
  case ServerStanding::Overdue:
    return Tier::Overdue;
  case ServerStanding::Resting:
  case ServerStanding::Unreachable:
  case ServerStanding::Leaving:
    break;
  }
  return Tier::Last;
}

ServerRef BackendPool::choose(const PlaceRequest &Request, TimePoint Now,
                              bool &AnyEligible) {
  ServerRef Best;
  Tier BestTier = Tier::Last;
  double BestScore = 0;
  for (const auto &[Id, S] : Servers) {
    if (!eligible(*S, Request))
      continue;
    const Tier T = tierOf(standing(*S, Now));
    if (!Request.LastResort &&
        (T != Tier::Sound || loadAhead(*S, Now) >= Policy.MostAheadOfHedge))
      continue;
    AnyEligible = true;
    if (S->inFlight() >= limit(*S, Now))
      continue;
    const double Spread =
        1.0 + ScoreSpread * (static_cast<double>(Engine()) / 4294967296.0);
    const double Score = score(*S, Request, Now) * Spread;
    if (Best == nullptr || T < BestTier ||
        (T == BestTier && Score < BestScore)) {
      Best = S;
      BestTier = T;
      BestScore = Score;
    }
  }
  return Best;
}

void BackendPool::take(PoolServer &S, const RouteStats &Stats,
                       TimePoint Now) const {
  const Duration Expected = Stats.expected() * slowness(S, Now) * OverdueRatio;
  const Duration Patience = std::max(Expected, Stats.hedgeDelay());
  S.Pending.push_back(PendingAttempt{Now, Now + Patience});
}

/// True if \p New, which came later, goes before \p Waiting.
static bool goesBefore(const PlaceRequest &New, const PlaceRequest &Waiting,
                       QueueOrder Order) {
  if (New.Rank != Waiting.Rank)
    return New.Rank < Waiting.Rank;
  switch (Order) {
  case QueueOrder::OldestFirst:
    return false;
  case QueueOrder::NewestFirst:
    return true;
  case QueueOrder::LeastSlackFirst:
    return New.UsefulUntil < Waiting.UsefulUntil;
  }
  return false;
}

Place BackendPool::acquire(const PlaceRequest &Request, bool MayWait,
                           PlaceWaiter Notify, TimePoint Now) {
  Place P;
  bool AnyEligible = false;
  P.Server = choose(Request, Now, AnyEligible);
  if (P.Server != nullptr) {
    take(*P.Server, *Request.Stats, Now);
    P.Outcome = PlaceOutcome::Granted;
    return P;
  }
  if (!AnyEligible || !MayWait || Queue.size() >= QueueLimit)
    return P;
  P.Outcome = PlaceOutcome::Queued;
  P.WaitId = NextWaitId++;
  auto Behind = std::find_if(Queue.begin(), Queue.end(), [&](const Waiter &W) {
    return goesBefore(Request, W.Request, Policy.Order);
  });
  Queue.insert(Behind, Waiter{P.WaitId, Request, std::move(Notify)});
  return P;
}

void BackendPool::abandon(std::uint64_t WaitId) {
  auto Found = std::find_if(Queue.begin(), Queue.end(),
                            [&](const Waiter &W) { return W.Id == WaitId; });
  if (Found != Queue.end())
    Queue.erase(Found);
}

static void rest(PoolServer &S, TimePoint Now) {
  const int Doublings = std::clamp(S.Failures - 1, 0, 8);
  S.RestUntil = Now + std::min(LongestRest,
                               FirstRest * static_cast<double>(1 << Doublings));
}

static void learnSlowness(PoolServer &S, double Before, double Ratio,
                          TimePoint Now) {
  S.Slowness =
      std::clamp(Before * (1 - SlownessWeight) + Ratio * SlownessWeight,
                 LeastSlowness, MostSlowness);
  S.SlownessAt = Now;
  S.SlowStreak = Ratio > SlowRatio ? S.SlowStreak + 1 : 0;
}

void BackendPool::learn(PoolServer &S, const AttemptReport &Report,
                        RouteStats &Stats, TimePoint Now) {
  if (Report.Load) {
    S.Reported = *Report.Load;
    S.ReportedAt = Now;
  }
  const double Before = slowness(S, Now);
  // Without anything to compare with, a server is neither slow nor fast.
  const double Ratio =
      Stats.known() ? absl::FDivDuration(Report.Elapsed, Stats.expected()) : 1;
  switch (Report.Result) {
  case AttemptResult::Answered:
    S.Failures = 0;
    S.RestUntil = absl::InfinitePast();
    learnLoss(S, false, Now);
    learnSlowness(S, Before, Ratio, Now);
    Stats.record(Report.Elapsed, Before, Now);
    return;
  case AttemptResult::Shed:
  case AttemptResult::Starting:
  case AttemptResult::Expired:
    S.RestUntil = std::max(S.RestUntil, Now + Stats.expected() * ShedRest);
    return;
  case AttemptResult::WrongVersion:
  case AttemptResult::Draining:
    // Another lifetime has the address, or this one ends.
    S.Present = false;
    return;
  case AttemptResult::NotSent:
    ++S.Failures;
    rest(S, Now);
    return;
  case AttemptResult::Lost:
  case AttemptResult::BadReply:
    learnLoss(S, true, Now);
    if (++S.Failures >= FailuresToRest)
      rest(S, Now);
    return;
  case AttemptResult::TimedOut:
  case AttemptResult::Cancelled:
    // The answer would have taken longer still.
    if (Ratio > Before)
      learnSlowness(S, Before, Ratio, Now);
    if (Report.Result == AttemptResult::TimedOut) {
      ++S.Failures;
      rest(S, Now);
    }
    return;
  case AttemptResult::Unused:
    return;
  }
}

void BackendPool::release(const ServerRef &Server, TimePoint Sent,
                          const AttemptReport &Report, RouteStats &Stats,
                          TimePoint Now) {
  auto &Pending = Server->Pending;
  auto Found =
      std::find_if(Pending.begin(), Pending.end(),
                   [&](const PendingAttempt &P) { return P.Sent == Sent; });
  if (Found != Pending.end())
    Pending.erase(Found);
  learn(*Server, Report, Stats, Now);
}

bool BackendPool::serveOne(bool Late, TimePoint Now) {
  for (auto It = Queue.begin(); It != Queue.end(); ++It) {
    if ((It->Request.UsefulUntil <= Now) != Late)
      continue;
    bool AnyEligible = false;
    ServerRef S = choose(It->Request, Now, AnyEligible);
    // Waiters differ in the servers they exclude.
    if (S == nullptr && AnyEligible)
      continue;
    if (S != nullptr)
      take(*S, *It->Request.Stats, Now);
    PlaceWaiter Notify = std::move(It->Notify);
    Queue.erase(It);
    Notify(S, Now);
    return true;
  }
  return false;
}

void BackendPool::serveQueue(TimePoint Now) {
  // The one that is told may change the queue: each step begins anew.
  while (serveOne(false, Now) || serveOne(true, Now))
    ;
}

Duration BackendPool::expectedDelay(const RouteStats &Stats,
                                    TimePoint Now) const {
  Duration Best = absl::InfiniteDuration();
  int InFlight = 0;
  for (const auto &[Id, S] : Servers) {
    if (!S->Present || S->Unreachable)
      continue;
    InFlight += S->inFlight();
    // One slow answer says little of the next one, and refuses nobody.
    const bool Confirmed = S->SlowStreak >= ConfirmingAnswers;
    const double Doubtful = Confirmed ? 1 : std::max(1.0, slowness(*S, Now));
    Best = std::min(Best, completion(*S, Stats, Now) / Doubtful);
  }
  if (Queue.empty() || Best == absl::InfiniteDuration())
    return Best;
  // The queue moves each time one of those in flight is answered.
  const double Turns =
      static_cast<double>(Queue.size()) / std::max(1, InFlight);
  return Best * (1.0 + Turns);
}

Duration BackendPool::reserveReturn(const RouteStats &Stats, Duration Wait,
                                    int Instances, Duration Longest,
                                    TimePoint Now) {
  if (!Policy.SpreadReturns)
    return Wait;
  double PlacesPerSecond = 0;
  for (const auto &[Id, S] : Servers)
    if (S->Present && !S->Unreachable)
      PlacesPerSecond +=
          std::max(1, S->Info.Slots) /
          absl::ToDoubleSeconds(Stats.expected() * slowness(*S, Now));
  PlacesPerSecond /= std::max(1, Instances);
  const Duration Pace = PlacesPerSecond > 0 ? absl::Seconds(1 / PlacesPerSecond)
                                            : Stats.expected();
  return Returns.reserve(Wait, Pace, Longest, Now);
}

bool BackendPool::usable() const {
  return std::any_of(Servers.begin(), Servers.end(), [](const auto &Item) {
    return Item.second->Present && !Item.second->Unreachable;
  });
}

} // namespace quetzallead
