#include "core/relay/BackendPool.h"
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
/// Weight of a new outcome in a server's loss rate, and the time constant of
/// the rate's exponential decay.
static constexpr double LossWeight = 0.2;
static constexpr Duration LossDecayTime = absl::Seconds(3);
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
/// Maximum number of queued requests per service.
static constexpr std::size_t QueueLimit = 64;

BackendPool::BackendPool(std::string GivenZone, std::uint64_t Seed,
                         PoolPolicy GivenPolicy,
                         std::shared_ptr<const SharingInstances> GivenSharing)
    : Zone(std::move(GivenZone)), Policy(GivenPolicy),
      Sharing(std::move(GivenSharing)), Engine(Seed) {}

void BackendPool::upsert(const DiscoveredServer &Info, TimePoint Now) {
  ServerRef &S = Servers[Info.Id];
  const bool NewIncarnation = S == nullptr || S->Info.Address != Info.Address ||
                              (Info.StartedAtMillis != 0 &&
                               S->Info.StartedAtMillis != Info.StartedAtMillis);
  if (NewIncarnation) {
    if (S != nullptr)
      S->AcceptsAttempts = false;
    S = std::make_shared<PoolServer>();
  }
  S->Info = Info;
  S->AcceptsAttempts = !Info.Draining;
  if (Info.WarmUpLeft > absl::ZeroDuration())
    S->WarmUpEndsAt = Now + Info.WarmUpLeft;
}

void BackendPool::remove(const std::string &Id, TimePoint) {
  auto Found = Servers.find(Id);
  if (Found == Servers.end())
    return;
  Found->second->AcceptsAttempts = false;
  Servers.erase(Found);
}

void BackendPool::setConnectionShare(int Share, TimePoint) {
  ConnectionShare = std::max(1, Share);
}

bool BackendPool::eligible(const PoolServer &S,
                           const AttemptPermitRequest &Request, TimePoint Now) {
  if (!S.AcceptsAttempts || !permitsAttempt(S.Pause, Now) ||
      (S.Unreachable && !Request.AllowUnreachable))
    return false;
  return std::none_of(Request.Excluded.begin(), Request.Excluded.end(),
                      [&](const ServerRef &E) { return E.get() == &S; });
}

LimitShare BackendPool::limitShare(const PoolServer &S, TimePoint Now) const {
  return Sharing == nullptr || !isLimited(S.Limit)
             ? LimitShare()
             : Sharing->shareOf(S.Info.Id, S.Limit.PerSecond, Now);
}

ServerState BackendPool::state(const PoolServer &S, TimePoint Now) {
  if (!S.AcceptsAttempts)
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

static double lossRate(const PoolServer &S, TimePoint Now) {
  if (S.LossRate <= 0)
    return 0;
  return S.LossRate *
         std::exp(-absl::FDivDuration(Now - S.LossRateAt, LossDecayTime));
}

static void recordLossSample(PoolServer &S, bool Lost, TimePoint Now) {
  S.LossRate = lossRate(S, Now) * (1 - LossWeight) + (Lost ? LossWeight : 0);
  S.LossRateAt = Now;
}

double BackendPool::score(const PoolServer &S,
                          const AttemptPermitRequest &Request,
                          TimePoint Now) const {
  Duration Expected = expectedCompletion(S, *Request.Stats, Now);
  const double Cost =
      Request.Kind == RequestKind::AtMostOnce ? NonRetryableLossCost : LossCost;
  const double Loss = lossRate(S, Now);
  Expected *= 1.0 + Cost * Loss;
  Expected += Request.Objective * (Policy.LossPenalty * Loss);
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
    if (!eligible(*S, Request, Now))
      continue;
    Tier T = tierOf(state(*S, Now));
    if (T == Tier::Healthy && meetsSuspect(*S, Request))
      T = Tier::Overdue;
    if (!Request.AllowUnhealthy &&
        (T != Tier::Healthy || loadAhead(*S, Now) >= Policy.MaxHedgeTargetLoad))
      continue;
    if (isLimited(S->Limit)) {
      const LimitShare Share = limitShare(*S, Now);
      if (!Request.AllowUnhealthy &&
          limitTokens(S->Limit, Share, Now) < MinTokensToHedge)
        continue;
      const Duration Wait = limitWait(S->Limit, Share, Now);
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
  spendLimit(S.Limit, limitShare(S, Now), Now);
}

/// True if \p New, which arrived later, is served before \p Waiting.
static bool goesBefore(const AttemptPermitRequest &New,
                       const AttemptPermitRequest &Waiting, QueueOrder Order) {
  if (New.Priority != Waiting.Priority)
    return New.Priority < Waiting.Priority;
  switch (Order) {
  case QueueOrder::OldestFirst:
    return false;
  case QueueOrder::NewestFirst:
    return true;
  case QueueOrder::EarliestDeadlineFirst:
    return New.ObjectiveDeadline < Waiting.ObjectiveDeadline;
  }
  return false;
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
  if (!AnyEligible || !MayWait || Queue.size() >= QueueLimit)
    return P;
  P.Outcome = AttemptPermitOutcome::Queued;
  P.WaitId = NextWaitId++;
  auto Position =
      std::find_if(Queue.begin(), Queue.end(), [&](const QueuedRequest &Q) {
        return goesBefore(Request, Q.Request, Policy.Order);
      });
  Queue.insert(Position, QueuedRequest{P.WaitId, Request, std::move(Notify)});
  announceNextPermit(Now);
  return P;
}

void BackendPool::cancelWait(std::uint64_t WaitId) {
  auto Found =
      std::find_if(Queue.begin(), Queue.end(),
                   [&](const QueuedRequest &Q) { return Q.Id == WaitId; });
  if (Found != Queue.end())
    Queue.erase(Found);
}

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
    recordLossSample(S, false, Now);
    recordSlownessSample(S, Previous, Ratio, Now);
    Stats.record(Report.Elapsed, Previous, Now);
    return;
  case AttemptResult::Shed:
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
    recordLossSample(S, true, Now);
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
  S.LossRate = 0;
  S.Failures = 0;
  S.EjectedUntil = absl::InfinitePast();
}

void BackendPool::eject(const ServerRef &Server, TimePoint Until) {
  Server->EjectedUntil = std::max(Server->EjectedUntil, Until);
}

bool BackendPool::serveOne(bool Late, TimePoint Now) {
  for (auto It = Queue.begin(); It != Queue.end(); ++It) {
    if ((It->Request.ObjectiveDeadline <= Now) != Late)
      continue;
    bool AnyEligible = false;
    ServerRef S = choose(It->Request, Now, AnyEligible);
    // A later request may still get a slot: excluded servers differ.
    if (S == nullptr && AnyEligible)
      continue;
    if (S != nullptr)
      addPending(*S, It->Request, Now);
    AttemptPermitCallback Notify = std::move(It->Notify);
    Queue.erase(It);
    Notify(S, Now);
    return true;
  }
  return false;
}

void BackendPool::grantPermits(TimePoint Now) {
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
    if (!S->AcceptsAttempts || !isLimited(S->Limit))
      continue;
    const Duration Wait = limitWait(S->Limit, limitShare(*S, Now), Now);
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
    if (!S->AcceptsAttempts || S->Unreachable || !permitsAttempt(S->Pause, Now))
      continue;
    if (!isLimited(S->Limit))
      return absl::ZeroDuration();
    AnyLimited = true;
    const LimitShare Share = limitShare(*S, Now);
    Rate += limitRate(S->Limit, Share);
    if (Share.Fraction > 0)
      Tokens += limitTokens(S->Limit, Share, Now);
  }
  if (!AnyLimited)
    return absl::ZeroDuration();
  // The requests in the queue are served first.
  const double Lacking = static_cast<double>(Queue.size()) + 1 - Tokens;
  if (Lacking <= 0)
    return absl::ZeroDuration();
  return Rate > 0 ? absl::Seconds(Lacking / Rate) : absl::InfiniteDuration();
}

Duration BackendPool::expectedDelay(const RouteStats &Stats,
                                    TimePoint Now) const {
  Duration Best = absl::InfiniteDuration();
  int InFlight = 0;
  const bool AllLimited = limitDelay(Now) > absl::ZeroDuration();
  for (const auto &[Id, S] : Servers) {
    if (!S->AcceptsAttempts || S->Unreachable || !permitsAttempt(S->Pause, Now))
      continue;
    if (!AllLimited &&
        limitWait(S->Limit, limitShare(*S, Now), Now) > absl::ZeroDuration())
      continue;
    InFlight += S->inFlight();
    // Unconfirmed slowness must not cause rejections: a single slow response
    // does not predict the next one.
    const bool Confirmed = S->SlowStreak >= ConfirmingResponses;
    const double UnconfirmedSlowness =
        Confirmed ? 1 : std::max(1.0, slowness(*S, Now));
    Best = std::min(Best,
                    expectedCompletion(*S, Stats, Now) / UnconfirmedSlowness);
  }
  if (Queue.empty() || Best == absl::InfiniteDuration())
    return Best;
  // The queue advances whenever an attempt in flight completes.
  const double Rounds =
      static_cast<double>(Queue.size()) / std::max(1, InFlight);
  return Best * (1.0 + Rounds);
}

Duration BackendPool::reserveRetryDelay(const RouteStats &Stats, Duration Wait,
                                        int Instances, Duration MaxDelay,
                                        TimePoint Now) {
  if (!Policy.SpreadRetries)
    return Wait;
  double SlotsPerSecond = 0;
  for (const auto &[Id, S] : Servers)
    if (S->AcceptsAttempts && !S->Unreachable)
      SlotsPerSecond += std::min(
          S->Limit.PerSecond,
          std::max(1, S->Info.Slots) /
              absl::ToDoubleSeconds(Stats.expected() * slowness(*S, Now)));
  SlotsPerSecond /= std::max(1, Instances);
  const Duration Interval =
      SlotsPerSecond > 0 ? absl::Seconds(1 / SlotsPerSecond) : Stats.expected();
  return RejectedRetries.reserve(Wait, Interval, MaxDelay, Now);
}

bool BackendPool::hasReachableServer(TimePoint Now) const {
  return std::any_of(Servers.begin(), Servers.end(), [Now](const auto &Item) {
    const PoolServer &S = *Item.second;
    return S.AcceptsAttempts && !S.Unreachable && permitsAttempt(S.Pause, Now);
  });
}

bool BackendPool::hasConnectableServer() const {
  return std::any_of(Servers.begin(), Servers.end(), [](const auto &Item) {
    return Item.second->AcceptsAttempts && !Item.second->Unreachable;
  });
}

bool BackendPool::outOfReach() const {
  bool AnyListed = false;
  for (const auto &[Id, S] : Servers) {
    if (!S->AcceptsAttempts)
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
    if (S->AcceptsAttempts && !S->Unreachable)
      Left = std::min(Left, S->Pause.EndsAt - Now);
  return Left == absl::InfiniteDuration() ? absl::ZeroDuration() : Left;
}

} // namespace quetzallead
