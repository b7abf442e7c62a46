#include "quetzallead/Survey.h"
#include "core/query/MergeReplies.h"
#include <algorithm>
#include <cassert>

namespace quetzallead {

/// Most attempts of one part at one target version.
static constexpr int MaxAttemptsPerPart = 4;
/// Most changes of the target version.
static constexpr int MaxTargetSwitches = 3;
/// First time after which a part is asked again that waits for a replica to
/// reach the target version; doubled each round.
static constexpr Duration FirstBlockedRetry = absl::Milliseconds(10);
static constexpr int LongestBlockedDoubling = 4;
/// Parts are hedged once no more than one in so many is still open.
static constexpr std::size_t StragglerFraction = 3;
/// Pause before a part whose replicas all refused it, or whose retry cannot be
/// paid for yet, is tried again; doubled each round.
static constexpr Duration FirstBackoff = absl::Milliseconds(15);
/// How much a shard counts for a version: with a reply at hand 1, with a
/// replica that is known to hold it, of which nothing is known, or that lags
/// behind and may reach it in time. What is known outweighs what may be.
static constexpr double HolderWeight = 0.95;
static constexpr double UnknownWeight = 0.6;
static constexpr double LaggingWeight = 0.4;
/// Weight, over all parts together, of how many replicas hold a version: among
/// versions with the same coverage the one with more capacity is taken.
static constexpr double CapacityWeight = 0.3;

Survey::Survey(SurveyPlan SurveyPlan, RetryBudget &ServiceBudget)
    : Plan(std::move(SurveyPlan)), Budget(ServiceBudget),
      Parts(Plan.Parts.size()) {
  Attempts.reserve(Parts.size() + Parts.size() / 4);
  for (std::size_t Index = 0; Index < Parts.size(); ++Index)
    Parts[Index].Tried = Plan.Parts[Index].Unusable;
}

void Survey::start(TimePoint Now, SurveyActions &Out) {
  reconsiderTarget(Now, Out);
  wakeBy(Plan.Deadline);
  wakeBy(Plan.CoverageDeadline);
  for (std::size_t Index = 0; Index < Parts.size(); ++Index)
    if (Parts[Index].State == PartState::Idle)
      ask(Index, /*MayWait=*/true, Out);
  checkEnd(Now, Out);
}

void Survey::ask(std::size_t Index, bool MayWait, SurveyActions &Out) {
  Part &P = Parts[Index];
  if (MayWait) {
    P.WaitPending = true;
    if (P.Live == 0)
      P.State = PartState::Asking;
  }
  Out.Acquire.push_back(AcquirePermit{Index, P.Tried, Target, MayWait});
}

void Survey::onPermit(std::size_t Index, std::size_t Replica, TimePoint Now,
                      SurveyActions &Out) {
  Part &P = Parts[Index];
  bool Asked = P.WaitPending || P.HedgePending;
  bool ForHedge = P.HedgePending;
  P.WaitPending = false;
  P.HedgePending = false;
  bool Wanted = !Done && Asked && P.State != PartState::Covered &&
                P.State != PartState::Failed;
  if (!Wanted || (P.Tried & replicaBit(Replica)) != 0) {
    Out.Return.push_back(ReturnPermit{Index, Replica});
    return;
  }
  AttemptCause Cause = AttemptCause::First;
  if (P.Sent == 0) {
    Budget.earn();
  } else {
    Cause = ForHedge ? AttemptCause::Hedge : AttemptCause::Retry;
    ++ExtraAttempts;
    Hedges += ForHedge ? 1 : 0;
  }
  auto Id = static_cast<AttemptId>(Attempts.size());
  Attempts.push_back(Attempt{Index, Replica, Target, true});
  P.State = PartState::InFlight;
  P.Tried |= replicaBit(Replica);
  ++P.Live;
  ++P.Sent;
  AnySent = true;
  if (!P.Hedged && Plan.HedgeDelay < absl::InfiniteDuration()) {
    P.HedgeAt = Now + Plan.HedgeDelay;
    wakeBy(P.HedgeAt);
  }
  Out.Send.push_back(SendAttempt{Id, Index, Replica, Target, Cause});
}

void Survey::onRefused(std::size_t Index, MissingReason Reason, Duration After,
                       TimePoint Now, SurveyActions &Out) {
  Part &P = Parts[Index];
  bool ForHedge = P.HedgePending;
  P.WaitPending = false;
  P.HedgePending = false;
  if (ForHedge)
    Budget.refund();
  if (Done || ForHedge || P.Live > 0 || P.State == PartState::Covered)
    return;
  RetryAfter = std::max(RetryAfter, After);
  // No replica is left to try: the last attempt's reason says more.
  bool Exhausted = Reason == MissingReason::NoReplica && P.Sent > 0;
  bool WrongVersion =
      Reason == MissingReason::OtherVersion ||
      (Exhausted && P.LastReason == MissingReason::OtherVersion);
  if (WrongVersion) {
    P.LastReason = MissingReason::OtherVersion;
    P.State = PartState::Asking;
    reconsiderTarget(Now, Out);
    if (!Done && P.State == PartState::Asking && !P.WaitPending)
      block(Index, Now, Out);
    return;
  }
  giveUp(Index, Exhausted ? P.LastReason : Reason, Now, Out);
}

void Survey::learnHeld(std::size_t Index,
                       const std::vector<HeldVersions> &Held) {
  std::vector<HeldVersions> &Known = Plan.Parts[Index].Held;
  for (std::size_t R = 0; R < Known.size() && R < Held.size(); ++R)
    if (Held[R].known() && Held[R].Epoch == Plan.Epoch)
      Known[R] = Held[R];
}

void Survey::endAttempt(AttemptId Id) {
  Attempt &A = Attempts[Id];
  assert(A.Live && "an attempt ends once");
  A.Live = false;
  --Parts[A.Part].Live;
}

const SubReply *Survey::replyAt(const Part &P, std::uint64_t Version) const {
  for (const SubReply &Reply : P.Replies)
    if (Reply.Taken.Version == Version)
      return &Reply;
  return nullptr;
}

bool Survey::usable(const PartPlan &P, const SubReply &Reply) const {
  return Reply.Taken.Epoch == Plan.Epoch && Reply.From == P.From &&
         Reply.To == P.To;
}

void Survey::onReply(AttemptId Id, SubReply Reply, TimePoint Now,
                     SurveyActions &Out) {
  std::size_t Index = Attempts[Id].Part;
  std::size_t Replica = Attempts[Id].Replica;
  endAttempt(Id);
  AnyRan = true;
  if (Done)
    return;
  Part &P = Parts[Index];
  PartPlan &PP = Plan.Parts[Index];
  if (!usable(PP, Reply)) {
    retryOrGiveUp(Index, MissingReason::OtherEpoch, /*Charged=*/true, Now, Out);
    return;
  }
  std::uint64_t Version = Reply.Taken.Version;
  HeldVersions &Held = PP.Held[Replica];
  Held = Reply.Held;
  if (!Held.known())
    Held = HeldVersions{Reply.Taken.Epoch, Version, Version};
  if (Version < Plan.MinVersion) {
    P.Tried |= replicaBit(Replica);
    P.LastReason = MissingReason::OtherVersion;
    retryOrGiveUp(Index, MissingReason::OtherVersion, /*Charged=*/false, Now,
                  Out);
    return;
  }
  if (replyAt(P, Version) == nullptr)
    P.Replies.push_back(std::move(Reply));
  if (Target == 0)
    Target = Version;
  if (Version == Target) {
    cover(Index, Out);
  } else {
    P.LastReason = MissingReason::OtherVersion;
    reconsiderTarget(Now, Out);
    if (!Done && P.State == PartState::InFlight && P.Live == 0)
      retryOrGiveUp(Index, MissingReason::OtherVersion, /*Charged=*/false, Now,
                    Out);
  }
  checkEnd(Now, Out);
}

void Survey::cover(std::size_t Index, SurveyActions &Out) {
  Part &P = Parts[Index];
  if (P.State == PartState::Covered)
    return;
  if (P.State == PartState::Failed)
    --FailedCount;
  P.State = PartState::Covered;
  P.HedgeAt = absl::InfiniteFuture();
  P.RetryAt = absl::InfiniteFuture();
  ++CoveredCount;
  cancelLive(Index, Out);
}

void Survey::cancelLive(std::size_t Index, SurveyActions &Out) {
  Part &P = Parts[Index];
  if (P.WaitPending)
    Out.Abandon.push_back(AbandonWait{Index});
  if (P.Live == 0)
    return;
  for (std::size_t Id = 0; Id < Attempts.size(); ++Id)
    if (Attempts[Id].Live && Attempts[Id].Part == Index)
      Out.Cancel.push_back(CancelAttempt{static_cast<AttemptId>(Id)});
}

static MissingReason reasonOf(AttemptResult Result) {
  switch (Result) {
  case AttemptResult::Shed:
  case AttemptResult::Starting:
  case AttemptResult::Draining:
    return MissingReason::Shed;
  case AttemptResult::WrongVersion:
    return MissingReason::OtherVersion;
  case AttemptResult::NotSent:
  case AttemptResult::Lost:
    return MissingReason::Connection;
  case AttemptResult::BadReply:
    return MissingReason::BadReply;
  default:
    return MissingReason::Timeout;
  }
}

void Survey::onFailure(AttemptId Id, AttemptResult Outcome, HeldVersions Held,
                       TimePoint Now, SurveyActions &Out) {
  std::size_t Index = Attempts[Id].Part;
  std::size_t Replica = Attempts[Id].Replica;
  endAttempt(Id);
  if (!provesNotRun(Outcome))
    AnyMayHaveRun = true;
  if (Done)
    return;
  if (Held.known())
    Plan.Parts[Index].Held[Replica] = Held;
  MissingReason Reason = reasonOf(Outcome);
  bool WrongVersion = Outcome == AttemptResult::WrongVersion;
  if (WrongVersion && Held.known() && Held.Epoch != Plan.Epoch)
    Reason = MissingReason::OtherEpoch;
  Parts[Index].LastReason = Reason;
  if (Reason == MissingReason::OtherVersion)
    reconsiderTarget(Now, Out);
  bool Settled = Done || Parts[Index].Live > 0 || Parts[Index].WaitPending;
  if (!Settled && Parts[Index].State == PartState::InFlight)
    retryOrGiveUp(Index, Reason, !WrongVersion, Now, Out);
  checkEnd(Now, Out);
}

void Survey::retryOrGiveUp(std::size_t Index, MissingReason Reason,
                           bool Charged, TimePoint Now, SurveyActions &Out) {
  Part &P = Parts[Index];
  P.LastReason = Reason;
  if (P.Live > 0 || P.WaitPending || P.State == PartState::Covered)
    return;
  bool Left = anyLeft(Index);
  if (!Left && Reason == MissingReason::OtherVersion) {
    block(Index, Now, Out);
    return;
  }
  bool MayRetry =
      P.Sent < MaxAttemptsPerPart && (Left || Reason == MissingReason::Shed);
  if (!MayRetry) {
    giveUp(Index, Reason, Now, Out);
    return;
  }
  if (!Left || (Charged && !Budget.spendOnRetry(Now))) {
    backOff(Index, Now);
    return;
  }
  ask(Index, /*MayWait=*/true, Out);
}

void Survey::backOff(std::size_t Index, TimePoint Now) {
  Part &P = Parts[Index];
  int Doublings = std::min(P.BlockedRounds, LongestBlockedDoubling);
  ++P.BlockedRounds;
  P.State = PartState::Blocked;
  P.RetryAt = Now + FirstBackoff * static_cast<double>(1 << Doublings);
  wakeBy(P.RetryAt);
}

void Survey::resume(std::size_t Index, TimePoint Now, SurveyActions &Out) {
  Part &P = Parts[Index];
  PartPlan &PP = Plan.Parts[Index];
  P.RetryAt = absl::InfiniteFuture();
  if (P.LastReason != MissingReason::OtherVersion &&
      !Budget.spendOnRetry(Now)) {
    backOff(Index, Now);
    return;
  }
  if (!anyLeft(Index))
    P.Tried = PP.Unusable;
  // What lagged may have moved on.
  for (HeldVersions &Held : PP.Held)
    if (Held.mayReach(Target))
      Held = HeldVersions{};
  ask(Index, /*MayWait=*/true, Out);
}

bool Survey::anyLeft(std::size_t Index) const {
  for (std::size_t R = 0; R < Plan.Parts[Index].Held.size(); ++R)
    if ((Parts[Index].Tried & replicaBit(R)) == 0)
      return true;
  return false;
}

void Survey::block(std::size_t Index, TimePoint Now, SurveyActions &Out) {
  Part &P = Parts[Index];
  bool Reachable = false;
  const PartPlan &PP = Plan.Parts[Index];
  for (std::size_t R = 0; R < PP.Held.size(); ++R) {
    bool Usable = (PP.Unusable & replicaBit(R)) == 0;
    bool Holds = PP.Held[R].mayReach(Target) || PP.Held[R].mayHold(Target);
    Reachable = Reachable || (Usable && Holds);
  }
  if (!Reachable) {
    giveUp(Index, MissingReason::OtherVersion, Now, Out);
    return;
  }
  int Doublings = std::min(P.BlockedRounds, LongestBlockedDoubling);
  ++P.BlockedRounds;
  P.State = PartState::Blocked;
  P.RetryAt = Now + FirstBlockedRetry * static_cast<double>(1 << Doublings);
  wakeBy(P.RetryAt);
}

void Survey::giveUp(std::size_t Index, MissingReason Reason, TimePoint Now,
                    SurveyActions &Out) {
  Part &P = Parts[Index];
  P.LastReason = Reason;
  P.HedgeAt = absl::InfiniteFuture();
  if (P.State != PartState::Failed) {
    P.State = PartState::Failed;
    ++FailedCount;
  }
  checkEnd(Now, Out);
}

double Survey::holderScore(const PartPlan &PP, std::uint64_t Version) const {
  double Best = 0;
  int Holders = 0;
  for (std::size_t R = 0; R < PP.Held.size(); ++R) {
    if ((PP.Unusable & replicaBit(R)) != 0)
      continue;
    if (PP.Held[R].mayHold(Version)) {
      bool Known = PP.Held[R].known();
      Best = std::max(Best, Known ? HolderWeight : UnknownWeight);
      ++Holders;
    } else if (PP.Held[R].mayReach(Version)) {
      Best = std::max(Best, LaggingWeight);
    }
  }
  auto Replicas = static_cast<double>(PP.Held.size() * Parts.size());
  return Best + CapacityWeight * Holders / std::max(1.0, Replicas);
}

double Survey::targetScore(std::uint64_t Version) const {
  double Score = 0;
  for (std::size_t Index = 0; Index < Parts.size(); ++Index) {
    if (replyAt(Parts[Index], Version) != nullptr) {
      Score += 1;
      continue;
    }
    Score += holderScore(Plan.Parts[Index], Version);
  }
  return Score;
}

void Survey::reconsiderTarget(TimePoint Now, SurveyActions &Out) {
  absl::InlinedVector<std::uint64_t, 8> Candidates;
  auto Consider = [&](std::uint64_t Version) {
    bool New = std::find(Candidates.begin(), Candidates.end(), Version) ==
               Candidates.end();
    if (Version != 0 && Version >= Plan.MinVersion && New)
      Candidates.push_back(Version);
  };
  for (std::size_t Index = 0; Index < Parts.size(); ++Index) {
    for (const SubReply &Reply : Parts[Index].Replies)
      Consider(Reply.Taken.Version);
    for (const HeldVersions &Held : Plan.Parts[Index].Held) {
      Consider(Held.Newest);
      Consider(Held.Oldest);
    }
  }
  std::sort(Candidates.rbegin(), Candidates.rend());
  std::uint64_t Best = Target;
  double BestScore = Target == 0 ? 0 : targetScore(Target);
  for (std::uint64_t Version : Candidates) {
    double Score = targetScore(Version);
    if (Score > BestScore) {
      Best = Version;
      BestScore = Score;
    }
  }
  if (Best == Target)
    return;
  if (Target == 0) {
    Target = Best;
    return;
  }
  if (TargetSwitches < MaxTargetSwitches)
    switchTarget(Best, Now, Out);
}

void Survey::switchTarget(std::uint64_t Version, TimePoint,
                          SurveyActions &Out) {
  ++TargetSwitches;
  Target = Version;
  CoveredCount = 0;
  FailedCount = 0;
  for (std::size_t Index = 0; Index < Parts.size(); ++Index) {
    Part &P = Parts[Index];
    if (replyAt(P, Version) != nullptr) {
      P.State = PartState::InFlight;
      cover(Index, Out);
      continue;
    }
    if (P.State == PartState::Idle)
      continue;
    P.BlockedRounds = 0;
    P.RetryAt = absl::InfiniteFuture();
    cancelLive(Index, Out);
    // Replicas that were tried for the old target may hold the new one.
    P.Tried = Plan.Parts[Index].Unusable;
    for (const Attempt &A : Attempts)
      if (A.Live && A.Part == Index)
        P.Tried |= replicaBit(A.Replica);
    P.Sent = P.Live;
    P.WaitPending = false;
    P.State = PartState::Asking;
    ask(Index, /*MayWait=*/true, Out);
  }
}

void Survey::hedge(std::size_t Index, TimePoint Now, SurveyActions &Out) {
  Part &P = Parts[Index];
  P.HedgeAt = absl::InfiniteFuture();
  bool Useful = P.State == PartState::InFlight && P.Live == 1 && !P.WaitPending;
  if (!Useful || P.Hedged || P.Sent >= MaxAttemptsPerPart)
    return;
  // Where most parts are slow the service is, and more load would not help.
  std::size_t Open = Parts.size() - CoveredCount - FailedCount;
  if (Open > std::max<std::size_t>(1, Parts.size() / StragglerFraction)) {
    P.HedgeAt = Now + Plan.HedgeDelay / 2;
    wakeBy(P.HedgeAt);
    return;
  }
  if (!Budget.spendOnHedge(Now))
    return;
  P.Hedged = true;
  P.HedgePending = true;
  ask(Index, /*MayWait=*/false, Out);
}

void Survey::onTimer(TimePoint Now, SurveyActions &Out) {
  if (Done)
    return;
  for (std::size_t Index = 0; Index < Parts.size() && !Done; ++Index) {
    Part &P = Parts[Index];
    if (P.HedgeAt <= Now)
      hedge(Index, Now, Out);
    if (P.RetryAt <= Now && P.State == PartState::Blocked)
      resume(Index, Now, Out);
  }
  checkEnd(Now, Out);
  rearm(Now);
}

void Survey::checkEnd(TimePoint Now, SurveyActions &Out) {
  if (Done)
    return;
  std::size_t Wanted = Parts.size();
  bool AllSettled = CoveredCount + FailedCount == Wanted;
  // Replies that came after a part was given up may show a better version.
  if (AllSettled && FailedCount > 0 && Now < Plan.Deadline) {
    reconsiderTarget(Now, Out);
    AllSettled = CoveredCount + FailedCount == Wanted;
  }
  bool Enough = static_cast<double>(CoveredCount) >=
                Plan.LeastCoverage * static_cast<double>(Wanted);
  bool EnoughInTime = Now >= Plan.CoverageDeadline && Enough;
  if (AllSettled || EnoughInTime || Now >= Plan.Deadline)
    finish(Out);
}

void Survey::finish(SurveyActions &Out) {
  Done = true;
  NextTimer = absl::InfiniteFuture();
  Out.Acquire.clear();
  for (std::size_t Index = 0; Index < Parts.size(); ++Index)
    if (Parts[Index].State != PartState::Covered)
      cancelLive(Index, Out);
  buildAnswer();
  Out.Finished = true;
}

void Survey::wakeBy(TimePoint When) { NextTimer = std::min(NextTimer, When); }

void Survey::rearm(TimePoint Now) {
  if (Done)
    return;
  NextTimer = Plan.Deadline;
  if (Plan.CoverageDeadline > Now)
    wakeBy(Plan.CoverageDeadline);
  for (const Part &P : Parts) {
    wakeBy(P.HedgeAt);
    if (P.State == PartState::Blocked)
      wakeBy(P.RetryAt);
  }
}

std::uint64_t Survey::bestAnsweredVersion() const {
  std::uint64_t Best = Target;
  std::size_t BestCount = CoveredCount;
  for (const Part &Source : Parts)
    for (const SubReply &Candidate : Source.Replies) {
      std::uint64_t Version = Candidate.Taken.Version;
      if (Version == Best)
        continue;
      std::size_t Count = 0;
      for (const Part &P : Parts)
        Count += replyAt(P, Version) != nullptr ? 1 : 0;
      bool Better = Count > BestCount || (Count == BestCount && Version > Best);
      if (Better) {
        Best = Version;
        BestCount = Count;
      }
    }
  return Best;
}

void Survey::buildAnswer() {
  std::uint64_t Version = bestAnsweredVersion();
  std::vector<SubReply> Chosen;
  Chosen.reserve(Parts.size());
  Result.Wanted = Parts.size();
  for (std::size_t Index = 0; Index < Parts.size(); ++Index) {
    Part &P = Parts[Index];
    const PartPlan &PP = Plan.Parts[Index];
    const SubReply *Reply = replyAt(P, Version);
    if (Reply != nullptr) {
      Chosen.push_back(std::move(*const_cast<SubReply *>(Reply)));
      continue;
    }
    MissingReason Reason = P.State == PartState::Failed ||
                                   P.State == PartState::Blocked ||
                                   P.LastReason == MissingReason::OtherVersion
                               ? P.LastReason
                               : MissingReason::Timeout;
    if (!P.Replies.empty())
      Reason = MissingReason::OtherVersion;
    Result.Missing.push_back(MissingShard{PP.Shard, PP.From, PP.To, Reason});
  }
  Result.Covered = Chosen.size();
  Result.Taken =
      Chosen.empty() ? Snapshot{Plan.Epoch, 0} : Snapshot{Plan.Epoch, Version};
  if (AnyRan)
    Result.Run = RunState::Ran;
  else if (AnyMayHaveRun || !Attempts.empty())
    Result.Run = RunState::Unknown;
  bool AnyLive = false;
  for (const Attempt &A : Attempts)
    AnyLive = AnyLive || A.Live;
  if (!AnyRan && !AnyMayHaveRun && !AnyLive)
    Result.Run = RunState::NotRun;
  mergeReplies(Plan, std::move(Chosen), Result);
}

} // namespace quetzallead
