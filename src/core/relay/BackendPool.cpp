#include "core/relay/BackendPool.h"
#include "core/relay/ServerRestriction.h"
#include <algorithm>
#include <cmath>

namespace quetzallead {

/// Weight of a new sample in the moving average of a server's slowness.
static constexpr double SlownessWeight = 0.25;
/// Slowness is clamped to these bounds, so that a single sample cannot exclude
/// a server permanently.
static constexpr double MinSlowness = 0.4;
static constexpr double MaxSlowness = 30;
/// A response that takes more than this multiple of the expected time counts as
/// slow.
static constexpr double SlowResponseRatio = 2.5;
/// Time constant of the exponential decay of slowness. It doubles with each
/// consecutive slow response, so that a single pause is forgotten quickly and a
/// slow server is remembered longer.
static constexpr Duration SlownessDecayTime = absl::Milliseconds(400);
static constexpr int MaxDecayDoublings = 4;
/// Consecutive slow responses after which a server counts as persistently slow.
static constexpr int ConfirmingResponses = 3;
/// Load reports older than this are ignored.
static constexpr Duration ReportMaxAge = absl::Milliseconds(300);
/// Cost of setting up a connection when no idle one is open.
static constexpr Duration ConnectPenalty = absl::Milliseconds(4);
/// Minimum slowness assumed while a server warms up.
static constexpr double WarmUpSlowness = 1.6;
/// Maximum relative jitter of a score, so that instances do not all select the
/// server that was idle a moment ago.
static constexpr double ScoreJitter = 0.15;
/// An attempt is overdue after this multiple of the expected response time.
static constexpr double OverdueRatio = 3.0;
/// Cost of a certain loss, in multiples of the expected response time. A retry
/// costs a few; a request that must not be retried fails.
static constexpr double LossCost = 4;
static constexpr double NonRetryableLossCost = 40;
/// Ejection time after a failure, doubled with each consecutive failure.
static constexpr Duration InitialEjectionTime = absl::Milliseconds(100);
static constexpr Duration MaxEjectionTime = absl::Seconds(2);
/// Consecutive lost or malformed responses after which a server is ejected.
static constexpr int FailuresToEject = 2;
/// Ejection time after a server rejects an attempt or lets it expire, in
/// multiples of the expected response time.
static constexpr double ShedEjectionRatio = 1.0;
/// Requests that a server's limit must still allow for a hedge: one is left for
/// a first attempt.
static constexpr double MinTokensToHedge = 2;

BackendPool::BackendPool(std::string GivenZone, std::uint64_t Seed,
                         PoolPolicy GivenPolicy,
                         std::shared_ptr<const SharingInstances> GivenSharing)
    : Zone(std::move(GivenZone)), Policy(GivenPolicy),
      Sharing(std::move(GivenSharing)), Queue(GivenPolicy.Order), Engine(Seed) {
}

void BackendPool::upsert(const DiscoveredServer &Info, TimePoint Now) {
  ServerRef &S = Servers[Info.Id];
  const bool NewIncarnation = S == nullptr || S->Info.Address != Info.Address ||
                              (Info.StartedAtMillis != 0 &&
                               S->Info.StartedAtMillis != Info.StartedAtMillis);
  if (NewIncarnation) {
    if (S != nullptr)
      S->AcceptsAttempts = false;
    S = std::make_shared<PoolServer>();
  } else if (Info.MayEndAt != absl::InfiniteFuture()) {
    // Nothing else is new, and what the server has said since holds.
    S->Info.MayEndAt = Info.MayEndAt;
    return;
  }
  S->Info = Info;
  S->AcceptsAttempts = !Info.Draining;
  S->Evacuated = EvacuatedZones.count(Info.Zone) != 0;
  if (Info.WarmUpLeft > absl::ZeroDuration())
    S->WarmUpEndsAt = Now + Info.WarmUpLeft;
  quetzallead::setWarmUpRate(S->Warm, WarmUpRate, Now);
  // The first entry of an incarnation may be older than it looks.
  if (!NewIncarnation || Info.WarmUpLeft > absl::ZeroDuration())
    noteWarmUpLeft(S->Warm, Info.WarmUpLeft, Now);
}

void BackendPool::remove(const std::string &Id, TimePoint) {
  auto Found = Servers.find(Id);
  if (Found == Servers.end())
    return;
  Found->second->AcceptsAttempts = false;
  Servers.erase(Found);
}

void BackendPool::setEvacuatedZones(std::set<std::string> Zones,
                                    TimePoint Now) {
  EvacuatedZones = std::move(Zones);
  for (const auto &[Id, S] : Servers) {
    const bool Before = S->Evacuated;
    S->Evacuated = EvacuatedZones.count(S->Info.Zone) != 0;
    if (Before && !S->Evacuated)
      noteMayBeCold(S->Warm, Now);
  }
}

void BackendPool::setWarmUpRate(double PerSecond, TimePoint Now) {
  if (WarmUpRate == PerSecond)
    return;
  WarmUpRate = PerSecond;
  for (const auto &[Id, S] : Servers)
    quetzallead::setWarmUpRate(S->Warm, PerSecond, Now);
}

void BackendPool::setConnectionShare(int Share, TimePoint) {
  ConnectionShare = std::max(1, Share);
}

static bool isAllowed(const PoolServer &S, const AllowedZones &Zones) {
  return Zones == nullptr || Zones->count(S.Info.Zone) != 0;
}

bool BackendPool::eligible(const PoolServer &S,
                           const AttemptPermitRequest &Request, TimePoint Now) {
  if (!S.takesAttempts() || !permitsAttempt(S.Pause, Now) ||
      (S.Unreachable && !Request.AllowUnreachable) ||
      !isAllowed(S, Request.Zones))
    return false;
  const auto IsThis = [&](const ServerRef &E) { return E.get() == &S; };
  if (!Request.Only.empty())
    return std::any_of(Request.Only.begin(), Request.Only.end(), IsThis);
  return std::none_of(Request.Excluded.begin(), Request.Excluded.end(), IsThis);
}

ServerState BackendPool::state(const PoolServer &S, TimePoint Now) {
  if (!S.takesAttempts())
    return ServerState::Leaving;
  if (S.Unreachable)
    return ServerState::Unreachable;
  if (isPaused(S.Pause, Now))
    return ServerState::Paused;
  if (Now < S.EjectedUntil)
    return ServerState::Ejected;
  return S.overdue(Now) ? ServerState::Overdue : ServerState::Healthy;
}

ServiceSnapshot BackendPool::snapshot(TimePoint Now) const {
  ServiceSnapshot Out;
  for (const auto &[Id, S] : Servers) {
    ++Out.Servers[static_cast<std::size_t>(state(*S, Now))];
    Out.Limited += isLimited(S->Limit) ? 1 : 0;
    Out.Cold += isCold(S->Warm, Now) ? 1 : 0;
    Out.InFlight += S->Pending.size();
    Out.IdleConnections += static_cast<std::size_t>(S->IdleConnections);
  }
  Out.Queued = Queue.size();
  Out.Displaced = Queue.displacedCount();
  Out.ConnectionShare = ConnectionShare;
  return Out;
}

double BackendPool::slowness(const PoolServer &S, TimePoint Now) {
  double Value = S.Slowness;
  if (Value > 1) {
    const int Doublings = std::min(S.SlowStreak, MaxDecayDoublings);
    const Duration DecayTime =
        SlownessDecayTime * static_cast<double>(1 << Doublings);
    const double Age = absl::FDivDuration(Now - S.SlownessAt, DecayTime);
    Value = 1 + (Value - 1) * std::exp(-std::max(0.0, Age));
  }
  return Now < S.WarmUpEndsAt ? std::max(Value, WarmUpSlowness) : Value;
}

int BackendPool::inFlightLimit(const PoolServer &S, TimePoint Now) const {
  const bool Queues = Now - S.ReportedAt < ReportMaxAge &&
                      S.Reported.Queued >= std::max(1, S.Info.Slots);
  return Queues ? 1 : ConnectionShare;
}

double BackendPool::loadAhead(const PoolServer &S, TimePoint Now) {
  const double ReportWeight =
      1.0 - absl::FDivDuration(Now - S.ReportedAt, ReportMaxAge);
  double Others = 0;
  if (ReportWeight > 0)
    Others = ReportWeight *
             std::max(0, S.Reported.Busy + S.Reported.Queued - S.inFlight());
  return (S.inFlight() + Others) / std::max(1, S.Info.Slots);
}

Duration BackendPool::expectedCompletion(const PoolServer &S,
                                         const RouteStats &Stats,
                                         TimePoint Now) const {
  return Stats.expected() * slowness(S, Now) * (1.0 + loadAhead(S, Now));
}

bool BackendPool::mayComplete(const PoolServer &S, const RouteStats &Stats,
                              TimePoint Now) const {
  return S.Info.MayEndAt == absl::InfiniteFuture() ||
         Now + expectedCompletion(S, Stats, Now) <= S.Info.MayEndAt;
}

double BackendPool::score(const PoolServer &S,
                          const AttemptPermitRequest &Request,
                          TimePoint Now) const {
  Duration Expected = expectedCompletion(S, *Request.Stats, Now);
  const double Cost =
      Request.Kind == RequestKind::AtMostOnce ? NonRetryableLossCost : LossCost;
  const double Loss = outcomeRate(S.Losses, Now);
  Expected *= 1.0 + Cost * Loss;
  Expected +=
      Request.Objective * (Policy.LossPenalty * Loss +
                           Policy.ShedPenalty * outcomeRate(S.Sheds, Now));
  if (S.Info.Zone != Zone)
    Expected += Request.Objective * Policy.CrossZonePenalty;
  if (S.IdleConnections <= 0)
    Expected += ConnectPenalty;
  return absl::ToDoubleMicroseconds(Expected);
}

namespace {

/// Servers of an earlier tier are preferred to those of a later one.
enum class Tier { Healthy, Overdue, LastResort };

} // namespace

static Tier tierOf(ServerState Standing) {
  switch (Standing) {
  case ServerState::Healthy:
    return Tier::Healthy;
  case ServerState::Overdue:
    return Tier::Overdue;
  case ServerState::Ejected:
  case ServerState::Unreachable:
  case ServerState::Paused:
  case ServerState::Leaving:
    break;
  }
  return Tier::LastResort;
}

/// Whether \p Request would run beside a suspected request, or is one itself
/// and would not be alone.
static bool meetsSuspect(const PoolServer &S,
                         const AttemptPermitRequest &Request) {
  return Request.Suspected
             ? !S.Pending.empty()
             : std::any_of(S.Pending.begin(), S.Pending.end(),
                           [](const PendingAttempt &P) { return P.Suspected; });
}

ServerRef BackendPool::choose(const AttemptPermitRequest &Request,
                              TimePoint Now, bool &AnyEligible) {
  ServerRef Best;
  Tier BestTier = Tier::LastResort;
  double BestScore = 0;
  for (const auto &[Id, S] : Servers) {
    if (!eligible(*S, Request, Now) || !mayComplete(*S, *Request.Stats, Now))
      continue;
    Tier T = tierOf(state(*S, Now));
    if (T == Tier::Healthy && meetsSuspect(*S, Request))
      T = Tier::Overdue;
    if (!Request.AllowUnhealthy &&
        (T != Tier::Healthy || loadAhead(*S, Now) >= Policy.MaxHedgeTargetLoad))
      continue;
    if (isRestricted(*S, Now)) {
      if (!Request.AllowUnhealthy &&
          restrictedTokens(*S, Sharing.get(), Now) < MinTokensToHedge)
        continue;
      const Duration Wait = restrictionWait(*S, Sharing.get(), Now);
      if (Now + Wait > Request.LatestStart)
        continue;
      if (Wait > absl::ZeroDuration()) {
        AnyEligible = true;
        continue;
      }
    }
    AnyEligible = true;
    if (S->inFlight() >= inFlightLimit(*S, Now))
      continue;
    const double Jitter =
        1.0 + ScoreJitter * (static_cast<double>(Engine()) / 4294967296.0);
    const double Score = score(*S, Request, Now) * Jitter;
    if (Best == nullptr || T < BestTier ||
        (T == BestTier && Score < BestScore)) {
      Best = S;
      BestTier = T;
      BestScore = Score;
    }
  }
  return Best;
}

void BackendPool::addPending(PoolServer &S, const AttemptPermitRequest &Request,
                             TimePoint Now) const {
  const RouteStats &Stats = *Request.Stats;
  const Duration Expected = Stats.expected() * slowness(S, Now) * OverdueRatio;
  const Duration OverdueAfter = std::max(Expected, Stats.hedgeDelay());
  S.Pending.push_back(
      PendingAttempt{Now, Now + OverdueAfter, Request.Suspected});
  if (isPaused(S.Pause, Now))
    ++S.Pause.Tries;
  spendRestrictions(S, Sharing.get(), Now);
}

AttemptPermit BackendPool::acquire(const AttemptPermitRequest &Request,
                                   bool MayWait, AttemptPermitCallback Notify,
                                   TimePoint Now) {
  AttemptPermit P;
  bool AnyEligible = false;
  P.Server = choose(Request, Now, AnyEligible);
  if (P.Server != nullptr) {
    addPending(*P.Server, Request, Now);
    P.Outcome = AttemptPermitOutcome::Granted;
    return P;
  }
  if (!AnyEligible || !MayWait)
    return P;
  if (Queue.full()) {
    std::optional<WaitingAttempt> Displaced = Queue.displaceFor(Request);
    if (!Displaced)
      return P;
    Displaced->Notify(nullptr, Now);
  }
  P.Outcome = AttemptPermitOutcome::Queued;
  P.WaitId = Queue.add(Request, std::move(Notify));
  announceNextPermit(Now);
  return P;
}

void BackendPool::cancelWait(std::uint64_t WaitId) { Queue.cancel(WaitId); }

static void ejectAfterFailure(PoolServer &S, TimePoint Now) {
  const int Doublings = std::clamp(S.Failures - 1, 0, 8);
  S.EjectedUntil =
      Now + std::min(MaxEjectionTime,
                     InitialEjectionTime * static_cast<double>(1 << Doublings));
}

static void recordSlownessSample(PoolServer &S, double Previous, double Ratio,
                                 TimePoint Now) {
  S.Slowness =
      std::clamp(Previous * (1 - SlownessWeight) + Ratio * SlownessWeight,
                 MinSlowness, MaxSlowness);
  S.SlownessAt = Now;
  S.SlowStreak = Ratio > SlowResponseRatio ? S.SlowStreak + 1 : 0;
}

void BackendPool::recordOutcome(PoolServer &S, const AttemptReport &Report,
                                RouteStats &Stats, TimePoint Now) {
  if (Report.Load) {
    S.Reported = *Report.Load;
    S.ReportedAt = Now;
  }
  const double Previous = slowness(S, Now);
  // Without a reference latency, assume a typical server.
  const double Ratio =
      Stats.known() ? absl::FDivDuration(Report.Elapsed, Stats.expected()) : 1;
  switch (Report.Result) {
  case AttemptResult::Answered:
    S.Failures = 0;
    S.EjectedUntil = absl::InfinitePast();
    recordOutcomeSample(S.Losses, false, Now);
    recordOutcomeSample(S.Sheds, false, Now);
    recordSlownessSample(S, Previous, Ratio, Now);
    Stats.record(Report.Elapsed, Previous, Now);
    return;
  case AttemptResult::Shed:
    recordOutcomeSample(S.Sheds, true, Now);
    [[fallthrough]];
  case AttemptResult::Starting:
  case AttemptResult::Expired:
    S.EjectedUntil =
        std::max(S.EjectedUntil, Now + Stats.expected() * ShedEjectionRatio);
    return;
  case AttemptResult::WrongVersion:
  case AttemptResult::Draining:
    // Another incarnation has the address, or this one is shutting down.
    S.AcceptsAttempts = false;
    return;
  case AttemptResult::NotSent:
    ++S.Failures;
    ejectAfterFailure(S, Now);
    return;
  case AttemptResult::Lost:
  case AttemptResult::BadReply:
    recordOutcomeSample(S.Losses, true, Now);
    if (++S.Failures >= FailuresToEject)
      ejectAfterFailure(S, Now);
    return;
  case AttemptResult::TimedOut:
  case AttemptResult::Cancelled:
    // The elapsed time is a lower bound of the response time, so it can only
    // raise the estimate.
    if (Ratio > Previous)
      recordSlownessSample(S, Previous, Ratio, Now);
    if (Report.Result == AttemptResult::TimedOut) {
      ++S.Failures;
      ejectAfterFailure(S, Now);
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
  const bool SaidByServer =
      provesNotRun(Report.Result) && Report.Result != AttemptResult::NotSent;
  if (Sent <= Server->LostAt && !SaidByServer)
    return;
  recordOutcome(*Server, Report, Stats, Now);
}

void BackendPool::markLost(const ServerRef &Server, TimePoint Now) {
  PoolServer &S = *Server;
  S.Unreachable = true;
  S.UnreachableSince = Now;
  S.OutOfReach = true;
  S.LostAt = Now;
  S.Slowness = 1;
  S.SlowStreak = 0;
  S.Losses = OutcomeRate();
  S.Sheds = OutcomeRate();
  S.Failures = 0;
  S.EjectedUntil = absl::InfinitePast();
}

void BackendPool::eject(const ServerRef &Server, TimePoint Until) {
  Server->EjectedUntil = std::max(Server->EjectedUntil, Until);
}

bool BackendPool::serveOne(bool Late, TimePoint Now) {
  for (std::size_t I = 0; I < Queue.size(); ++I) {
    const AttemptPermitRequest &Request = Queue.attempts()[I].Request;
    if ((Request.ObjectiveDeadline <= Now) != Late)
      continue;
    bool AnyEligible = false;
    ServerRef S = choose(Request, Now, AnyEligible);
    // A later request may still get a slot: excluded servers differ.
    if (S == nullptr && AnyEligible)
      continue;
    if (S != nullptr)
      addPending(*S, Request, Now);
    Queue.serve(I).Notify(S, Now);
    return true;
  }
  return false;
}

void BackendPool::grantPermits(TimePoint Now) {
  while (std::optional<WaitingAttempt> Expired = Queue.takeExpired(Now))
    Expired->Notify(nullptr, Now);
  // The callback may change the queue, so each step starts from the front.
  while (serveOne(false, Now) || serveOne(true, Now))
    ;
  announceNextPermit(Now);
}

void BackendPool::announceNextPermit(TimePoint Now) const {
  if (Queue.empty() || !OnPermitDue)
    return;
  Duration Shortest = absl::InfiniteDuration();
  for (const auto &[Id, S] : Servers) {
    if (!S->takesAttempts() || !isRestricted(*S, Now))
      continue;
    const Duration Wait = restrictionWait(*S, Sharing.get(), Now);
    if (Wait > absl::ZeroDuration())
      Shortest = std::min(Shortest, Wait);
  }
  if (Shortest != absl::InfiniteDuration())
    OnPermitDue(Now + Shortest);
}

Duration BackendPool::limitDelay(TimePoint Now) const {
  double Rate = 0;
  double Tokens = 0;
  bool AnyLimited = false;
  for (const auto &[Id, S] : Servers) {
    if (!S->takesAttempts() || S->Unreachable || !permitsAttempt(S->Pause, Now))
      continue;
    if (!isRestricted(*S, Now))
      return absl::ZeroDuration();
    AnyLimited = true;
    const double ServerRate = restrictedRate(*S, Sharing.get(), Now);
    Rate += ServerRate;
    if (ServerRate > 0)
      Tokens += restrictedTokens(*S, Sharing.get(), Now);
  }
  if (!AnyLimited)
    return absl::ZeroDuration();
  // The requests in the queue are served first.
  const double Lacking = static_cast<double>(Queue.size()) + 1 - Tokens;
  if (Lacking <= 0)
    return absl::ZeroDuration();
  return Rate > 0 ? absl::Seconds(Lacking / Rate) : absl::InfiniteDuration();
}

Duration BackendPool::expectedDelay(const AttemptPermitRequest &Request,
                                    TimePoint Now) const {
  Duration Best = absl::InfiniteDuration();
  int InFlight = 0;
  const bool AllLimited = limitDelay(Now) > absl::ZeroDuration();
  for (const auto &[Id, S] : Servers) {
    if (!S->takesAttempts() || S->Unreachable || !permitsAttempt(S->Pause, Now))
      continue;
    if (!AllLimited &&
        restrictionWait(*S, Sharing.get(), Now) > absl::ZeroDuration())
      continue;
    InFlight += S->inFlight();
    // Unconfirmed slowness must not cause rejections: a single slow response
    // does not predict the next one.
    const bool Confirmed = S->SlowStreak >= ConfirmingResponses;
    const double UnconfirmedSlowness =
        Confirmed ? 1 : std::max(1.0, slowness(*S, Now));
    Best = std::min(Best, expectedCompletion(*S, *Request.Stats, Now) /
                              UnconfirmedSlowness);
  }
  const std::size_t Ahead = Queue.countAhead(Request);
  if (Ahead == 0 || Best == absl::InfiniteDuration())
    return Best;
  // The queue advances whenever an attempt in flight completes.
  const double Rounds = static_cast<double>(Ahead) / std::max(1, InFlight);
  return Best * (1.0 + Rounds);
}

Duration BackendPool::reserveRetryDelay(const RouteStats &Stats, Duration Wait,
                                        int Instances, Duration MaxDelay,
                                        TimePoint Now) {
  if (!Policy.SpreadRetries)
    return Wait;
  double SlotsPerSecond = 0;
  for (const auto &[Id, S] : Servers)
    if (S->takesAttempts() && !S->Unreachable)
      SlotsPerSecond += std::min(
          S->Limit.PerSecond,
          std::max(1, S->Info.Slots) /
              absl::ToDoubleSeconds(Stats.expected() * slowness(*S, Now)));
  SlotsPerSecond /= std::max(1, Instances);
  const Duration Interval =
      SlotsPerSecond > 0 ? absl::Seconds(1 / SlotsPerSecond) : Stats.expected();
  return RejectedRetries.reserve(Wait, Interval, MaxDelay, Now);
}

bool BackendPool::hasReachableServer(TimePoint Now,
                                     const AllowedZones &Zones) const {
  return std::any_of(Servers.begin(), Servers.end(), [&](const auto &Item) {
    const PoolServer &S = *Item.second;
    return S.takesAttempts() && !S.Unreachable &&
           permitsAttempt(S.Pause, Now) && isAllowed(S, Zones);
  });
}

bool BackendPool::hasConnectableServer() const {
  return std::any_of(Servers.begin(), Servers.end(), [](const auto &Item) {
    return Item.second->takesAttempts() && !Item.second->Unreachable;
  });
}

bool BackendPool::outOfReach() const {
  bool AnyListed = false;
  for (const auto &[Id, S] : Servers) {
    if (!S->takesAttempts())
      continue;
    if (!S->OutOfReach)
      return false;
    AnyListed = true;
  }
  return AnyListed;
}

Duration BackendPool::pauseLeft(TimePoint Now) const {
  if (hasReachableServer(Now))
    return absl::ZeroDuration();
  Duration Left = absl::InfiniteDuration();
  for (const auto &[Id, S] : Servers)
    if (S->takesAttempts() && !S->Unreachable)
      Left = std::min(Left, S->Pause.EndsAt - Now);
  return Left == absl::InfiniteDuration() ? absl::ZeroDuration() : Left;
}

} // namespace quetzallead
