#include "quetzallead/ReplicaSet.h"
#include "quetzallead/ConnectionShare.h"
#include <algorithm>
#include <cassert>
#include <cmath>

namespace quetzallead {

/// Weight of a new sample in the smoothed latency.
static constexpr double LatencyWeight = 0.2;
/// A latency that is not refreshed fades towards the mean of the shard with
/// this time constant, so that a slow server is tried again.
static constexpr Duration LatencyFade = absl::Seconds(5);
/// A load report counts for nothing once it is this old.
static constexpr Duration ReportLife = absl::Milliseconds(500);
/// Latency assumed before the first sample of the shard.
static constexpr Duration FirstLatency = absl::Milliseconds(5);
/// Extra latency assumed of an untried server in another zone.
static constexpr Duration CrossZonePenalty = absl::Milliseconds(2);
/// Failures in a row after which a server is ejected.
static constexpr int FailuresToEject = 3;
static constexpr Duration FirstEjection = absl::Milliseconds(200);
static constexpr Duration LongestEjection = absl::Seconds(5);
/// Time a returned or new server is held to one attempt at a time.
static constexpr Duration RampTime = absl::Milliseconds(500);
/// Time a server that said it is draining is held back, at least; doubled each
/// time it says so again.
static constexpr Duration FirstDrainHold = absl::Seconds(10);
static constexpr int LongestDrainDoubling = 5;
/// A latency above this multiple of the best one means a queue at the server.
static constexpr double CongestedRatio = 3.0;
/// Factor by which the limit shrinks on congestion.
static constexpr double LimitDecrease = 0.8;
/// A free replica this many times worse than the best one is not used; the
/// request waits for the best one instead.
static constexpr double WorthWaitingRatio = 3.0;
/// Urgent requests served in a row before one that waits behind them.
static constexpr int LongestUrgentStreak = 8;
/// An answer of a server counts for more than a peer's word this long.
static constexpr Duration OwnWordLife = absl::Seconds(1);
/// Shortest time after which a refused caller is told to come back.
static constexpr Duration LeastRetryAfter = absl::Milliseconds(50);

ReplicaSet::ReplicaSet(const ShardSpec &Spec, ReplicaSetOptions Opts,
                       int Instances, TimePoint Now)
    : Options(std::move(Opts)), Engine(Options.Seed) {
  update(Spec, Instances, Now);
}

std::vector<PermitGrant> ReplicaSet::update(const ShardSpec &Spec,
                                            int Instances, TimePoint Now) {
  PosixMutexLock Lock(&Mutex);
  for (Server &S : Servers)
    S.Removed = true;
  for (const BackendServerSpec &Wanted : Spec.Servers) {
    Server *Known = find(Wanted.Name);
    if (Known != nullptr && Known->Spec.Address != Wanted.Address)
      Known = nullptr;
    if (Known == nullptr) {
      assert(Servers.size() < MaxReplicas && "too many replicas in one life");
      if (Servers.size() >= MaxReplicas)
        continue;
      Known = &Servers.emplace_back();
      Known->Belief.RampUntil = Now;
    }
    Known->Spec = Wanted;
    Known->Removed = false;
    Known->ConnectionShare = connectionShare(Wanted.ConnectionLimit, Instances);
    ServerBelief &B = Known->Belief;
    if (B.BestLatency == absl::ZeroDuration() ||
        B.Limit > Known->ConnectionShare)
      B.Limit = Known->ConnectionShare;
    if (Wanted.Leaving && B.Leaving == LeavingCause::None) {
      B.Leaving = LeavingCause::Sheet;
      B.LeavingSince = Now;
    }
    if (!Wanted.Leaving && B.Leaving == LeavingCause::Sheet)
      B.Leaving = LeavingCause::None;
  }
  return drainQueue(Now);
}

ReplicaSet::Server *ReplicaSet::find(const std::string &Name) {
  for (auto It = Servers.rbegin(); It != Servers.rend(); ++It)
    if (It->Spec.Name == Name)
      return &*It;
  return nullptr;
}

int ReplicaSet::permits(const Server &S, TimePoint Now) const {
  if (Now < S.Belief.RampUntil)
    return 1;
  int Limit = static_cast<int>(S.Belief.Limit);
  return std::clamp(Limit, 1, S.ConnectionShare);
}

Duration ReplicaSet::meanLatency() const {
  Duration Sum = absl::ZeroDuration();
  int Count = 0;
  for (const Server &S : Servers) {
    if (S.Removed || S.Belief.Latency == absl::ZeroDuration())
      continue;
    Sum += S.Belief.Latency;
    ++Count;
  }
  return Count == 0 ? FirstLatency : Sum / Count;
}

Duration ReplicaSet::expectedLatency(const Server &S, TimePoint Now) const {
  const ServerBelief &B = S.Belief;
  if (B.Latency == absl::ZeroDuration()) {
    // Optimistic, so that every replica is tried.
    Duration Guess = std::min(FirstLatency, meanLatency());
    if (S.Spec.Zone != Options.Zone)
      Guess += CrossZonePenalty;
    return Guess;
  }
  Duration Mean = meanLatency();
  if (B.Latency <= Mean)
    return B.Latency;
  double Age = absl::FDivDuration(Now - B.LatencyAt, LatencyFade);
  return Mean + (B.Latency - Mean) * std::exp(-std::max(0.0, Age));
}

double ReplicaSet::score(const Server &S, TimePoint Now) const {
  const ServerBelief &B = S.Belief;
  Duration Service = expectedLatency(S, Now);
  double Fresh = 1.0 - absl::FDivDuration(Now - B.ReportedAt, ReportLife);
  double Others = 0;
  if (Fresh > 0)
    Others = Fresh *
             std::max(0, B.Reported.Busy + B.Reported.Queued - B.Outstanding);
  double Ahead = (B.Outstanding + Others) / std::max(1, S.Spec.Slots);
  Duration Expected = Service * (1.0 + Ahead);
  if (B.Outstanding >= B.WarmConnections)
    Expected += S.Spec.ConnectTime;
  if (Now < B.ShedUntil)
    Expected += B.ShedUntil - Now;
  return absl::ToDoubleMicroseconds(Expected);
}

bool ReplicaSet::allowed(const Server &S, const PermitRequest &Request,
                         ChoicePass Pass, TimePoint Now) const {
  if (S.Removed || S.Belief.Leaving != LeavingCause::None)
    return false;
  const HeldVersions &Held = S.Belief.Held;
  bool Holds = Held.mayHold(Request.Version);
  bool Ejected = S.Belief.NeedsProbe || Now < S.Belief.EjectedUntil;
  if (Pass == ChoicePass::Preferred)
    return Holds && !Ejected;
  if (Pass == ChoicePass::Lagging)
    return (Holds || Held.mayReach(Request.Version)) && !Ejected;
  if (Pass == ChoicePass::Ejected && S.Belief.NeedsProbe)
    return false;
  return Holds || Held.mayReach(Request.Version);
}

int ReplicaSet::choose(const PermitRequest &Request, TimePoint Now,
                       bool &AnyAllowed) {
  std::vector<int> Allowed;
  Allowed.reserve(Servers.size());
  const bool AnyHealthy =
      std::any_of(Servers.begin(), Servers.end(), [&](const Server &S) {
        return allowed(S, Request, ChoicePass::Lagging, Now);
      });
  // Each pass admits more: the last replica of a shard is never given up. A
  // request that has tried all healthy replicas does not go to one that has
  // failed repeatedly, which may be leaving.
  for (ChoicePass Pass : {ChoicePass::Preferred, ChoicePass::Lagging,
                          ChoicePass::Ejected, ChoicePass::Failed}) {
    if (Pass == ChoicePass::Failed && AnyHealthy)
      break;
    for (std::size_t Index = 0; Index < Servers.size(); ++Index) {
      bool Excluded = (Request.Excluded & replicaBit(Index)) != 0;
      if (!Excluded && allowed(Servers[Index], Request, Pass, Now))
        Allowed.push_back(static_cast<int>(Index));
    }
    if (!Allowed.empty())
      break;
  }
  AnyAllowed = !Allowed.empty();
  return chooseByPolicy(Allowed, Now);
}

int ReplicaSet::chooseByPolicy(const std::vector<int> &Allowed, TimePoint Now) {
  std::vector<int> Free;
  Free.reserve(Allowed.size());
  for (int Index : Allowed)
    if (Servers[Index].Belief.Outstanding < permits(Servers[Index], Now))
      Free.push_back(Index);
  if (Free.empty())
    return -1;
  auto Draw = [&] {
    return Free[Engine(static_cast<std::uint32_t>(Free.size()))];
  };
  auto Fewer = [&](int A, int B) {
    return Servers[A].Belief.Outstanding < Servers[B].Belief.Outstanding;
  };
  switch (Options.Policy) {
  case RoutingPolicy::Random:
    return Draw();
  case RoutingPolicy::RoundRobin:
    return Free[NextTurn++ % Free.size()];
  case RoutingPolicy::TwoChoices: {
    int First = Draw();
    int Second = Draw();
    return Fewer(Second, First) ? Second : First;
  }
  case RoutingPolicy::LeastOutstanding: {
    std::size_t Start = Engine(static_cast<std::uint32_t>(Free.size()));
    std::rotate(Free.begin(), Free.begin() + static_cast<std::ptrdiff_t>(Start),
                Free.end());
    return *std::min_element(Free.begin(), Free.end(), Fewer);
  }
  case RoutingPolicy::ExpectedCompletion:
    break;
  }
  return chooseByCompletion(Allowed, Free, Now);
}

int ReplicaSet::chooseByCompletion(const std::vector<int> &Allowed,
                                   const std::vector<int> &Free,
                                   TimePoint Now) const {
  int Best = Free.front();
  double BestScore = score(Servers[Best], Now);
  for (std::size_t Step = 1; Step < Free.size(); ++Step) {
    double Next = score(Servers[Free[Step]], Now);
    if (Next < BestScore) {
      Best = Free[Step];
      BestScore = Next;
    }
  }
  for (int Index : Allowed) {
    bool Busy = Servers[Index].Belief.Outstanding > 0;
    if (Busy && score(Servers[Index], Now) * WorthWaitingRatio < BestScore)
      return -1;
  }
  return Best;
}

MissingReason ReplicaSet::refusalReason(const PermitRequest &Request) const {
  for (std::size_t Index = 0; Index < Servers.size(); ++Index) {
    const Server &S = Servers[Index];
    bool Usable = (Request.Excluded & replicaBit(Index)) == 0 && !S.Removed &&
                  S.Belief.Leaving == LeavingCause::None;
    if (Usable)
      return MissingReason::OtherVersion;
  }
  return MissingReason::NoReplica;
}

void ReplicaSet::take(Server &S) const {
  ++S.Belief.Outstanding;
  S.Belief.WarmConnections =
      std::max(S.Belief.WarmConnections, S.Belief.Outstanding);
}

Permit ReplicaSet::acquire(const PermitRequest &Request,
                           const std::shared_ptr<PermitListener> &Listener,
                           TimePoint Now) {
  PosixMutexLock Lock(&Mutex);
  Permit P;
  bool AnyAllowed = false;
  bool Overtakes = Request.MayWait && Queued > 0;
  int Chosen = -1;
  if (Overtakes) {
    for (int Level = 0; Level <= static_cast<int>(Request.Urgency); ++Level)
      Overtakes = Overtakes && Queues[Level].empty();
    Chosen = Overtakes ? choose(Request, Now, AnyAllowed) : -1;
    AnyAllowed = AnyAllowed || !Overtakes;
  } else {
    Chosen = choose(Request, Now, AnyAllowed);
  }
  if (Chosen >= 0) {
    take(Servers[Chosen]);
    P.Outcome = PermitOutcome::Granted;
    P.Replica = static_cast<std::size_t>(Chosen);
    return P;
  }
  if (!AnyAllowed) {
    P.Reason = refusalReason(Request);
    P.RetryAfter = LeastRetryAfter;
    return P;
  }
  Duration Wait = waitLocked(Request.Urgency, Now);
  if (!Request.MayWait || Queued >= Options.QueueLimit ||
      Now + Wait > Request.Deadline) {
    P.Reason = MissingReason::Shed;
    P.RetryAfter = std::max(LeastRetryAfter, std::min(Wait, absl::Seconds(5)));
    return P;
  }
  Waiter W;
  W.Id = NextWaitId++;
  W.Request = Request;
  W.Listener = Listener;
  P.Outcome = PermitOutcome::Queued;
  P.WaitId = W.Id;
  Queues[static_cast<int>(Request.Urgency)].push_back(std::move(W));
  ++Queued;
  return P;
}

bool ReplicaSet::acquireOn(std::size_t Replica) {
  PosixMutexLock Lock(&Mutex);
  Server &S = Servers[Replica];
  if (S.Belief.Outstanding >= S.ConnectionShare)
    return false;
  take(S);
  return true;
}

bool ReplicaSet::abandon(std::uint64_t WaitId) {
  PosixMutexLock Lock(&Mutex);
  for (auto &Queue : Queues)
    for (auto It = Queue.begin(); It != Queue.end(); ++It)
      if (It->Id == WaitId) {
        Queue.erase(It);
        --Queued;
        return true;
      }
  return false;
}

std::vector<PermitGrant> ReplicaSet::release(std::size_t Replica,
                                             const AttemptReport &Report,
                                             TimePoint Now) {
  PosixMutexLock Lock(&Mutex);
  Server &S = Servers[Replica];
  assert(S.Belief.Outstanding > 0 && "released more than was acquired");
  --S.Belief.Outstanding;
  learn(S, Report, Now);
  return drainQueue(Now);
}

std::vector<PermitGrant> ReplicaSet::drainQueue(TimePoint Now) {
  std::vector<PermitGrant> Grants;
  if (Queued == 0)
    return Grants;
  // Levels in the order of urgency; a long streak of urgent grants lets the
  // oldest of the lower levels go first.
  bool LowFirst = UrgentStreak >= LongestUrgentStreak;
  for (int Step = 0; Step < PriorityCount; ++Step) {
    int Level = LowFirst ? (Step + 1) % PriorityCount : Step;
    auto &Queue = Queues[Level];
    for (auto It = Queue.begin(); It != Queue.end();) {
      bool AnyAllowed = false;
      int Chosen = choose(It->Request, Now, AnyAllowed);
      if (Chosen < 0 && !AnyAllowed) {
        // What was learned meanwhile rules all replicas out.
        MissingReason Reason = refusalReason(It->Request);
        Grants.push_back(
            PermitGrant{std::move(It->Listener), It->Request.Part, 0, Reason});
        It = Queue.erase(It);
        --Queued;
        continue;
      }
      if (Chosen < 0) {
        ++It;
        // Waiters of one level differ only in excluded replicas; a few are
        // tried so that one of them cannot block the rest.
        if (std::distance(Queue.begin(), It) >= 4)
          break;
        continue;
      }
      take(Servers[Chosen]);
      UrgentStreak = Level == 0 ? UrgentStreak + 1 : 0;
      Grants.push_back(PermitGrant{std::move(It->Listener), It->Request.Part,
                                   static_cast<std::size_t>(Chosen),
                                   std::nullopt});
      It = Queue.erase(It);
      --Queued;
    }
  }
  return Grants;
}

static Duration drainHold(int LeavingCount) {
  int Doublings = std::min(LeavingCount, LongestDrainDoubling);
  return FirstDrainHold * static_cast<double>(1 << Doublings);
}

static void eject(ServerBelief &B, TimePoint Now) {
  int Excess = std::min(8, B.ConsecutiveFailures - 1);
  Duration Time = FirstEjection * static_cast<double>(1 << std::max(0, Excess));
  // A hold may last longer already.
  B.EjectedUntil =
      std::max(B.EjectedUntil, Now + std::min(LongestEjection, Time));
  B.NeedsProbe = B.ConsecutiveFailures >= FailuresToEject;
  B.RampUntil = B.EjectedUntil + RampTime;
  B.WarmConnections = 0;
}

/// It takes connections and gives nothing: that counts for more than a health
/// report that may say otherwise.
static void holdUnanswering(ServerBelief &B, TimePoint Now) {
  B.EjectedUntil = Now + FirstDrainHold;
}

static void learnLatency(ServerBelief &B, Duration Sample, TimePoint Now) {
  if (B.Latency == absl::ZeroDuration())
    B.Latency = Sample;
  else
    B.Latency = B.Latency * (1 - LatencyWeight) + Sample * LatencyWeight;
  B.LatencyAt = Now;
}

static void adaptLimit(ServerBelief &B, Duration Sample, int Share) {
  if (B.BestLatency == absl::ZeroDuration() || Sample < B.BestLatency)
    B.BestLatency = Sample;
  else
    B.BestLatency = B.BestLatency * 0.999 + Sample * 0.001;
  if (Sample > B.BestLatency * CongestedRatio)
    B.Limit = std::max(1.0, B.Limit * LimitDecrease);
  else
    B.Limit = std::min<double>(Share, B.Limit + 1.0 / B.Limit);
}

void ReplicaSet::learn(Server &S, const AttemptReport &Report, TimePoint Now) {
  ServerBelief &B = S.Belief;
  if (Report.Load) {
    B.Reported = *Report.Load;
    B.ReportedAt = Now;
  }
  if (Report.Held && Report.Held->known())
    B.Held = *Report.Held;
  switch (Report.Result) {
  case AttemptResult::Answered:
    // An attempt that was sent before the last failure tells nothing of what
    // the server does since.
    if (Now - Report.Elapsed < B.FailedAt) {
      learnLatency(B, Report.Elapsed, Now);
      return;
    }
    B.ConsecutiveFailures = 0;
    B.AnsweredAt = Now;
    B.EjectedUntil = absl::InfinitePast();
    B.NeedsProbe = false;
    learnLatency(B, Report.Elapsed, Now);
    adaptLimit(B, Report.Elapsed, S.ConnectionShare);
    return;
  case AttemptResult::WrongVersion:
    B.ConsecutiveFailures = 0;
    return;
  case AttemptResult::Shed:
  case AttemptResult::Starting:
  case AttemptResult::Expired:
    B.Limit = std::max(1.0, B.Limit * LimitDecrease);
    B.ShedUntil = Now + std::max(B.Latency, FirstLatency) * 2;
    return;
  case AttemptResult::Draining:
    if (B.Leaving == LeavingCause::None) {
      B.Leaving = LeavingCause::DrainReply;
      ++S.LeavingCount;
    }
    B.LeavingSince = Now;
    return;
  case AttemptResult::NotSent:
  case AttemptResult::Lost:
  case AttemptResult::TimedOut:
  case AttemptResult::BadReply:
    ++B.ConsecutiveFailures;
    B.FailedAt = Now;
    if (Report.Elapsed > B.Latency)
      learnLatency(B, Report.Elapsed, Now);
    if (Report.Result == AttemptResult::NotSent ||
        B.ConsecutiveFailures >= FailuresToEject)
      eject(B, Now);
    if (Report.Result == AttemptResult::Lost && B.NeedsProbe)
      holdUnanswering(B, Now);
    return;
  case AttemptResult::Cancelled:
    // The reply would have taken longer still.
    if (Report.Elapsed > B.Latency)
      learnLatency(B, Report.Elapsed, Now);
    return;
  case AttemptResult::Unused:
    return;
  }
}

Duration ReplicaSet::expectedWait(Priority Urgency, TimePoint Now) const {
  PosixMutexLock Lock(&Mutex);
  return waitLocked(Urgency, Now);
}

Duration ReplicaSet::waitLocked(Priority Urgency, TimePoint Now) const {
  int Permits = 0;
  int Outstanding = 0;
  for (const Server &S : Servers) {
    if (S.Removed || S.Belief.Leaving != LeavingCause::None)
      continue;
    Permits += permits(S, Now);
    Outstanding += S.Belief.Outstanding;
  }
  if (Permits == 0)
    return absl::InfiniteDuration();
  std::size_t Ahead = 0;
  for (int Level = 0; Level <= static_cast<int>(Urgency); ++Level)
    Ahead += Queues[Level].size();
  if (Outstanding < Permits && Ahead == 0)
    return absl::ZeroDuration();
  if (Queued >= Options.QueueLimit)
    return absl::InfiniteDuration();
  return meanLatency() * static_cast<double>(Ahead + 1) / Permits;
}

void ReplicaSet::noteLeaving(const std::string &Name, LeavingCause Cause,
                             TimePoint Now) {
  PosixMutexLock Lock(&Mutex);
  Server *S = find(Name);
  if (S == nullptr)
    return;
  ServerBelief &B = S->Belief;
  if (Cause == LeavingCause::None) {
    // The sheet's word stands until the sheet changes.
    if (B.Leaving == LeavingCause::None || B.Leaving == LeavingCause::Sheet)
      return;
    B.Leaving = LeavingCause::None;
    B.RampUntil = Now + RampTime;
    return;
  }
  if (B.Leaving != LeavingCause::None)
    return;
  B.Leaving = Cause;
  B.LeavingSince = Now;
}

void ReplicaSet::noteDead(const std::string &Name, TimePoint Now) {
  PosixMutexLock Lock(&Mutex);
  Server *S = find(Name);
  if (S == nullptr || Now - S->Belief.AnsweredAt < OwnWordLife)
    return;
  ++S->Belief.ConsecutiveFailures;
  eject(S->Belief, Now);
}

void ReplicaSet::noteUnanswering(const std::string &Name, TimePoint Now) {
  PosixMutexLock Lock(&Mutex);
  Server *S = find(Name);
  if (S == nullptr || Now - S->Belief.AnsweredAt < OwnWordLife)
    return;
  ServerBelief &B = S->Belief;
  B.ConsecutiveFailures = std::max(B.ConsecutiveFailures, FailuresToEject);
  B.FailedAt = Now;
  eject(B, Now);
  holdUnanswering(B, Now);
}

void ReplicaSet::noteReachable(std::size_t Replica, TimePoint Now) {
  PosixMutexLock Lock(&Mutex);
  ServerBelief &B = Servers[Replica].Belief;
  if (!B.NeedsProbe || Now < B.EjectedUntil)
    return;
  B.NeedsProbe = false;
  B.RampUntil = Now + RampTime;
}

void ReplicaSet::noteUnreachable(std::size_t Replica, TimePoint Now) {
  PosixMutexLock Lock(&Mutex);
  ServerBelief &B = Servers[Replica].Belief;
  if (B.NeedsProbe)
    B.EjectedUntil = std::min(B.EjectedUntil, Now);
}

bool ReplicaSet::noteHealthy(const std::string &Name, TimePoint Now) {
  PosixMutexLock Lock(&Mutex);
  Server *S = find(Name);
  if (S == nullptr)
    return false;
  ServerBelief &B = S->Belief;
  bool MayReturn =
      B.Leaving == LeavingCause::DrainReply || B.Leaving == LeavingCause::Peer;
  int Earlier = std::max(0, S->LeavingCount - 1);
  if (!MayReturn || Now - B.LeavingSince < drainHold(Earlier))
    return false;
  B.Leaving = LeavingCause::None;
  B.RampUntil = Now + RampTime;
  return true;
}

std::size_t ReplicaSet::size() const {
  PosixMutexLock Lock(&Mutex);
  return Servers.size();
}

BackendServerSpec ReplicaSet::spec(std::size_t Replica) const {
  PosixMutexLock Lock(&Mutex);
  return Servers[Replica].Spec;
}

ServerBelief ReplicaSet::belief(std::size_t Replica) const {
  PosixMutexLock Lock(&Mutex);
  return Servers[Replica].Belief;
}

bool ReplicaSet::removed(std::size_t Replica) const {
  PosixMutexLock Lock(&Mutex);
  return Servers[Replica].Removed;
}

std::vector<HeldVersions> ReplicaSet::heldVersions(ReplicaMask &Removed) const {
  PosixMutexLock Lock(&Mutex);
  std::vector<HeldVersions> Held;
  Held.reserve(Servers.size());
  Removed = 0;
  for (std::size_t Index = 0; Index < Servers.size(); ++Index) {
    Held.push_back(Servers[Index].Belief.Held);
    if (Servers[Index].Removed)
      Removed |= replicaBit(Index);
  }
  return Held;
}

std::size_t ReplicaSet::queueLength(Priority Urgency) const {
  PosixMutexLock Lock(&Mutex);
  return Queues[static_cast<int>(Urgency)].size();
}

std::size_t ReplicaSet::queueLength() const {
  PosixMutexLock Lock(&Mutex);
  return Queued;
}

} // namespace quetzallead
