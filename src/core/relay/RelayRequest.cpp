#include "core/relay/RelayRequest.h"
#include "absl/strings/str_cat.h"
#include <algorithm>
#include <cmath>

namespace quetzallead {

/// Part of a budget that hedges leave to retries.
static constexpr double HedgeReserve = 0.25;
/// Part of a budget that hedges leave while many parts of a survey are open;
/// the last ones gain most.
static constexpr double EarlyHedgeReserve = 0.5;
/// A hedge or retry that cannot be paid for is tried again after this.
static constexpr Duration BudgetWait = absl::Milliseconds(10);
/// Wait before a part whose servers all refused is asked again.
static constexpr Duration RefusalWait = absl::Milliseconds(8);
/// Part of an expected delay that must fit into the time that is left: the
/// expectation is within a factor of two of what comes.
static constexpr double Doubt = 0.5;
/// Shortest time after which a refused caller is told to come back; a new
/// connection takes it a few milliseconds anyhow.
static constexpr Duration LeastRetryAfter = absl::Milliseconds(20);
/// Part of the time they have left for which callers wait before they return.
static constexpr double HeededPart = 1.0 / 3;
/// Told to callers of requests that no server can take. A server that starts
/// registers within about this time.
static constexpr Duration UnservableRetryAfter = absl::Milliseconds(500);

RelayRequest::RelayRequest(RelayPlan GivenPlan)
    : Plan(std::move(GivenPlan)), Parts(Plan.Targets.size()) {}

RelayRequest::~RelayRequest() {
  for (std::size_t I = 0; I < Parts.size(); ++I)
    leaveQueue(I);
}

std::size_t RelayRequest::neededParts() const {
  if (!survey())
    return 1;
  // The small part taken off keeps 0.9 * 10 from being rounded up to 10.
  const double Needed =
      Plan.Taken->LeastCoverage * static_cast<double>(Parts.size()) - 1e-9;
  return std::max<std::size_t>(1, static_cast<std::size_t>(std::ceil(Needed)));
}

void RelayRequest::start(TimePoint Now, RelayActions &Out) {
  for (RelayTarget &T : Plan.Targets)
    T.Budget->earn(Now);
  // A survey's parts are worth little once its objective has passed; a single
  // answer is delivered late rather than not at all.
  const TimePoint By = survey() ? Plan.AnswerBy : Plan.Deadline;
  std::vector<bool> Hopeful;
  Duration LongestDelay = absl::ZeroDuration();
  const RelayTarget *Slowest = nullptr;
  std::size_t HopefulCount = 0;
  for (const RelayTarget &T : Plan.Targets) {
    const Duration Delay = T.Pool->expectedDelay(*Plan.Stats, Now);
    Hopeful.push_back(Delay != absl::InfiniteDuration() &&
                      Now + Delay * Doubt <= By);
    if (Hopeful.back())
      ++HopefulCount;
    else if (Delay != absl::InfiniteDuration() && Delay > LongestDelay) {
      LongestDelay = Delay;
      Slowest = &T;
    }
  }
  if (HopefulCount < neededParts()) {
    if (Slowest != nullptr) {
      finish(refusal(*Slowest, LongestDelay * Doubt - (By - Now), Now), Out);
      return;
    }
    RelayVerdict V;
    V.Outcome = RelayOutcome::Unservable;
    V.RetryAfter = UnservableRetryAfter;
    finish(std::move(V), Out);
    return;
  }
  for (std::size_t I = 0; I < Parts.size() && !Answered; ++I) {
    if (Hopeful[I])
      place(I, AttemptCause::First, Now, Out);
    else
      giveUp(I);
  }
  checkEnd(Now, Out);
  rearm();
}

PlaceRequest RelayRequest::placeRequest(const Part &P) const {
  PlaceRequest Ask;
  Ask.Stats = Plan.Stats.get();
  Ask.Kind = Plan.Taken->Kind;
  Ask.Objective = Plan.Taken->Objective;
  Ask.Rank = Plan.Taken->Rank;
  Ask.UsefulUntil = Plan.AnswerBy;
  Ask.Excluded = P.Tried;
  return Ask;
}

void RelayRequest::place(std::size_t Index, AttemptCause Cause, TimePoint Now,
                         RelayActions &Out) {
  Part &P = Parts[Index];
  const PlaceRequest Ask = placeRequest(P);
  Place Given = Plan.Targets[Index].Pool->acquire(
      Ask, true,
      [this, Index, Cause](const ServerRef &Server, TimePoint When) {
        Parts[Index].WaitId = 0;
        RelayActions Next;
        if (Server != nullptr)
          send(Index, Server, Cause, When, Next);
        else
          giveUp(Index);
        checkEnd(When, Next);
        rearm();
        OnPlaced(std::move(Next));
      },
      Now);
  if (Given.Outcome == PlaceOutcome::Granted)
    send(Index, std::move(Given.Server), Cause, Now, Out);
  else if (Given.Outcome == PlaceOutcome::Queued)
    P.WaitId = Given.WaitId;
  else
    giveUp(Index);
}

void RelayRequest::send(std::size_t Index, ServerRef Server, AttemptCause Cause,
                        TimePoint Now, RelayActions &Out) {
  Part &P = Parts[Index];
  ++P.Sent;
  ++P.Live;
  P.Tried.push_back(Server);
  P.RetryAt = absl::InfiniteFuture();
  P.HedgeAt = absl::InfiniteFuture();
  P.Obstacle = HedgeObstacle::None;
  if (repeatable() && P.Sent < Plan.Taken->MaxAttempts)
    P.HedgeAt = Now + Plan.Stats->hedgeDelay();
  Attempts.push_back(Attempt{Index, Server, Now, Cause});
  Out.push_back(SendRelayAttempt{Attempts.size() - 1, std::move(Server),
                                 Plan.Deadline - Now, Cause});
}

void RelayRequest::leaveQueue(std::size_t Index) {
  Part &P = Parts[Index];
  if (P.WaitId != 0)
    Plan.Targets[Index].Pool->abandon(P.WaitId);
  P.WaitId = 0;
}

void RelayRequest::giveUp(std::size_t Index) {
  Part &P = Parts[Index];
  if (P.State != PartState::Open)
    return;
  P.State = PartState::GivenUp;
  P.HedgeAt = absl::InfiniteFuture();
  P.RetryAt = absl::InfiniteFuture();
  leaveQueue(Index);
  ++GivenUpParts;
}

/// True for the statuses that a survey's part or a final success has.
static bool isSuccess(const BackendAnswer &Answer) {
  return Answer.Status >= 200 && Answer.Status < 300;
}

/// A server's own failure that another server may not share.
static bool isServerFault(const BackendAnswer &Answer) {
  return Answer.Status >= 500;
}

bool RelayRequest::accept(std::size_t Index, const AttemptEnd &End) {
  Part &P = Parts[Index];
  if (End.Result != AttemptResult::Answered)
    return false;
  const bool Good = survey()
                        ? isSuccess(*End.Answer) && !End.Answer->Stamp.empty()
                        : !isServerFault(*End.Answer);
  if (!Good && (survey() || repeatable())) {
    P.Failure = End.Answer;
    return false;
  }
  P.Answer = End.Answer;
  P.State = PartState::Answered;
  P.HedgeAt = absl::InfiniteFuture();
  P.RetryAt = absl::InfiniteFuture();
  leaveQueue(Index);
  ++AnsweredParts;
  return true;
}

void RelayRequest::onEnd(std::size_t Id, const AttemptEnd &End, TimePoint Now,
                         RelayActions &Out) {
  Attempt &A = Attempts[Id];
  if (!A.Live)
    return;
  A.Live = false;
  const std::size_t Index = A.Part;
  Part &P = Parts[Index];
  --P.Live;
  AttemptReport Report;
  Report.Result = End.Result;
  Report.Elapsed = Now - A.Sent;
  Report.Load = End.Load;
  if (End.Result == AttemptResult::Answered && isServerFault(*End.Answer))
    Report.Result = AttemptResult::BadReply;
  if (End.Result == AttemptResult::NotSent)
    --P.Sent;
  Plan.Targets[Index].Pool->release(A.Server, A.Sent, Report, *Plan.Stats, Now);
  const bool Unrun = provesNotRun(End.Result);
  A.Unrun = Unrun;
  if (!Answered && P.State == PartState::Open && !accept(Index, End)) {
    if (P.Live == 0 && P.WaitId == 0) {
      if (repeatable() || Unrun)
        retryOrGiveUp(Index, Now);
      else
        giveUp(Index);
    }
  }
  checkEnd(Now, Out);
  rearm();
}

void RelayRequest::retryOrGiveUp(std::size_t Index, TimePoint Now) {
  Part &P = Parts[Index];
  if (P.Sent >= Plan.Taken->MaxAttempts) {
    giveUp(Index);
    return;
  }
  P.HedgeAt = absl::InfiniteFuture();
  P.RetryAt = Now;
}

void RelayRequest::retry(std::size_t Index, TimePoint Now, RelayActions &Out) {
  Part &P = Parts[Index];
  RelayTarget &T = Plan.Targets[Index];
  // What was never sent arrived nowhere, and its repeat is the first.
  const bool First = P.Sent == 0;
  if (!First && !T.Budget->spend(0, Plan.Instances, Now)) {
    P.RetryAt = Now + BudgetWait;
    return;
  }
  P.RetryAt = absl::InfiniteFuture();
  place(Index, First ? AttemptCause::First : AttemptCause::Retry, Now, Out);
  if (P.State != PartState::GivenUp || !T.Pool->usable())
    return;
  // Every server was tried: the first one may have room by now.
  P.State = PartState::Open;
  --GivenUpParts;
  P.Tried.clear();
  P.RetryAt = Now + RefusalWait;
}

void RelayRequest::hedge(std::size_t Index, TimePoint Now, RelayActions &Out) {
  Part &P = Parts[Index];
  RelayTarget &T = Plan.Targets[Index];
  const std::size_t Open = Parts.size() - AnsweredParts - GivenUpParts;
  const bool Late = Open <= 2;
  if (!T.Budget->spend(Late ? HedgeReserve : EarlyHedgeReserve, Plan.Instances,
                       Now)) {
    P.Obstacle = HedgeObstacle::Budget;
    P.HedgeAt = Now + BudgetWait;
    return;
  }
  PlaceRequest Ask = placeRequest(P);
  Ask.LastResort = false;
  Place Given = T.Pool->acquire(Ask, false, nullptr, Now);
  if (Given.Outcome != PlaceOutcome::Granted) {
    T.Budget->refund(Now);
    P.Obstacle = HedgeObstacle::NoServer;
    P.HedgeAt = Now + BudgetWait;
    return;
  }
  send(Index, std::move(Given.Server), AttemptCause::Hedge, Now, Out);
}

void RelayRequest::onTimer(TimePoint Now, RelayActions &Out) {
  for (std::size_t I = 0; I < Parts.size() && !Answered; ++I) {
    if (Parts[I].State != PartState::Open)
      continue;
    if (Parts[I].RetryAt <= Now)
      retry(I, Now, Out);
    if (Parts[I].HedgeAt <= Now)
      hedge(I, Now, Out);
  }
  checkEnd(Now, Out);
  rearm();
}

void RelayRequest::onCallerLeft(TimePoint, RelayActions &Out) {
  // What cannot be repeated is not broken off: its effect is wanted.
  for (std::size_t I = 0; I < Attempts.size() && repeatable(); ++I)
    if (Attempts[I].Live)
      Out.push_back(CancelRelayAttempt{I});
  for (std::size_t I = 0; I < Parts.size(); ++I)
    leaveQueue(I);
  if (!Answered) {
    RelayVerdict V;
    V.Outcome = RelayOutcome::CallerLeft;
    finish(std::move(V), Out);
  }
  rearm();
}

RelayVerdict RelayRequest::merged() const {
  RelayVerdict V;
  V.Outcome = RelayOutcome::Merged;
  for (const Part &P : Parts)
    if (P.State == PartState::Answered)
      V.Answers.push_back(P.Answer);
  V.Missing = Parts.size() - V.Answers.size();
  return V;
}

std::size_t RelayRequest::partsWithheld(HedgeObstacle Obstacle) const {
  return static_cast<std::size_t>(
      std::count_if(Parts.begin(), Parts.end(), [Obstacle](const Part &P) {
        return P.Obstacle == Obstacle;
      }));
}

std::string RelayRequest::describe(bool OnlyMissing) const {
  std::string Text;
  for (std::size_t I = 0; I < Parts.size(); ++I) {
    if (OnlyMissing && Parts[I].State == PartState::Answered)
      continue;
    absl::StrAppend(&Text, Text.empty() ? "" : " ", Plan.Targets[I].Service,
                    "(");
    const char *Gap = "";
    for (const Attempt &A : Attempts) {
      if (A.Part != I)
        continue;
      absl::StrAppend(&Text, Gap, A.Server->Info.Id, "@",
                      absl::ToInt64Milliseconds(A.Sent - Plan.Arrived),
                      A.Live ? "" : "!");
      Gap = ",";
    }
    if (Parts[I].Obstacle != HedgeObstacle::None)
      absl::StrAppend(&Text, Gap,
                      nameOf(HedgeObstacleNames, Parts[I].Obstacle));
    absl::StrAppend(&Text, ")");
  }
  return Text;
}

bool RelayRequest::mayHaveRun() const {
  return std::any_of(Attempts.begin(), Attempts.end(),
                     [](const Attempt &A) { return !A.Unrun; });
}

RelayVerdict RelayRequest::failure(TimePoint Now) const {
  RelayVerdict V;
  if (!survey() && Parts[0].Failure != nullptr) {
    V.Outcome = RelayOutcome::Relayed;
    V.Answers.push_back(Parts[0].Failure);
    return V;
  }
  if (mayHaveRun()) {
    V.Outcome =
        Now >= Plan.Deadline ? RelayOutcome::TimedOut : RelayOutcome::Failed;
    return V;
  }
  // Of a survey, the first shard that was given up stands for the rest.
  std::size_t Refusing = 0;
  while (Refusing + 1 < Parts.size() &&
         Parts[Refusing].State != PartState::GivenUp)
    ++Refusing;
  return refusal(Plan.Targets[Refusing], Plan.Stats->expected() * 2, Now);
}

RelayVerdict RelayRequest::refusal(const RelayTarget &Target, Duration Wait,
                                   TimePoint Now) const {
  RelayVerdict V;
  V.Outcome = RelayOutcome::Refused;
  V.RetryAfter = Target.Pool->reserveReturn(
      *Plan.Stats, std::max(Wait, LeastRetryAfter), Plan.Instances,
      (Plan.CallerGone - Now) * HeededPart, Now);
  return V;
}

void RelayRequest::checkEnd(TimePoint Now, RelayActions &Out) {
  if (Answered)
    return;
  const std::size_t Needed = neededParts();
  const bool Enough = AnsweredParts >= Needed;
  const bool AllDone = AnsweredParts + GivenUpParts == Parts.size();
  if (Enough && (AllDone || Now >= Plan.AnswerBy)) {
    if (survey()) {
      finish(merged(), Out);
      return;
    }
    RelayVerdict V;
    V.Outcome = RelayOutcome::Relayed;
    V.Answers.push_back(Parts[0].Answer);
    finish(std::move(V), Out);
    return;
  }
  const bool Hopeless = Parts.size() - GivenUpParts < Needed;
  if (Hopeless || Now >= Plan.Deadline)
    finish(failure(Now), Out);
}

void RelayRequest::finish(RelayVerdict Verdict, RelayActions &Out) {
  Answered = true;
  for (std::size_t I = 0; I < Parts.size(); ++I)
    leaveQueue(I);
  Out.push_back(AnswerCaller{std::move(Verdict)});
}

void RelayRequest::rearm() {
  NextTimer = absl::InfiniteFuture();
  if (Answered)
    return;
  NextTimer = Plan.Deadline;
  if (AnsweredParts >= neededParts())
    NextTimer = std::min(NextTimer, Plan.AnswerBy);
  for (const Part &P : Parts)
    if (P.State == PartState::Open)
      NextTimer = std::min({NextTimer, P.HedgeAt, P.RetryAt});
}

} // namespace quetzallead
