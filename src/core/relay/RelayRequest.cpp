#include "core/relay/RelayRequest.h"
#include <algorithm>
#include <cmath>

namespace quetzallead {

/// Fraction of a budget that hedges leave for retries.
static constexpr double HedgeBudgetReserve = 0.25;
/// Fraction of a budget that hedges leave while more than two parts of a survey
/// are open; hedging the last parts shortens the response time most.
static constexpr double EarlyHedgeBudgetReserve = 0.5;
/// Fraction of a budget that attempts at servers that have turned the part away
/// leave for attempts at others, which are more likely to succeed.
static constexpr double ResendBudgetReserve = 0.25;
/// Delay before a withheld hedge, or a retry that the budget did not allow, is
/// tried again.
static constexpr Duration ExtraAttemptRecheckDelay = absl::Milliseconds(10);
/// Delay before a part that has tried every server starts over.
static constexpr Duration AllServersTriedDelay = absl::Milliseconds(8);
/// Fraction of the expected delay that must fit into the time left: actual
/// delays are within a factor of two of the estimate.
static constexpr double ExpectedDelayFraction = 0.5;
/// Share of the parts of a survey, and least number, that are open at a time
/// when the delay is taken to be common to them.
static constexpr double CommonDelayShare = 0.5;
static constexpr std::size_t MinPartsForCommonDelay = 5;
/// Latest hedge, as a share of the objective.
static constexpr double MaxHedgeShare = 0.35;
/// Most parts without an answer that count as deciding their survey.
static constexpr std::size_t DecisiveParts = 2;
/// Minimum Retry-After of a rejection; a new connection takes the caller a few
/// milliseconds in any case.
static constexpr Duration MinRetryAfter = absl::Milliseconds(20);
/// Callers follow a Retry-After of at most this fraction of their remaining
/// timeout.
static constexpr double MaxRetryAfterFraction = 1.0 / 3;
/// Time within which a home acknowledges a request, as a share of the objective
/// and within bounds. Its processor is occupied by other requests for some
/// milliseconds at a time.
static constexpr double HomeSilenceShare = 0.4;
static constexpr Duration MinHomeSilenceTimeout = absl::Milliseconds(25);
static constexpr Duration MaxHomeSilenceTimeout = absl::Milliseconds(200);
/// Time for which a silent home is avoided. An instance with few callers would
/// otherwise meet a frozen home with each of its requests.
static constexpr Duration SilentHomeEjectionTime = absl::Seconds(2);
/// Retry-After of requests that no server can take. A starting server registers
/// within about this time.
static constexpr Duration UnservableRetryAfter = absl::Milliseconds(500);

/// Returns whether \p Server was one of \p Servers.
static bool eraseServer(std::vector<ServerRef> &Servers,
                        const ServerRef &Server) {
  auto Found = std::find(Servers.begin(), Servers.end(), Server);
  if (Found == Servers.end())
    return false;
  Servers.erase(Found);
  return true;
}

RelayRequest::RelayRequest(RelayPlan InitialPlan)
    : Plan(std::move(InitialPlan)), Parts(Plan.Targets.size()) {}

RelayRequest::~RelayRequest() {
  for (std::size_t I = 0; I < Parts.size(); ++I)
    leaveQueue(I);
}

Duration RelayRequest::hedgeDelay() const {
  // However slow the servers have become, a part that is hedged has to have
  // time left to arrive by the objective.
  if (!isForwarded())
    return std::min(Plan.Stats->hedgeDelay(),
                    std::max(Plan.Stats->expected(),
                             Plan.MatchedRoute->Objective * MaxHedgeShare));
  return std::clamp(Plan.MatchedRoute->Objective * HomeSilenceShare,
                    MinHomeSilenceTimeout, MaxHomeSilenceTimeout);
}

void RelayRequest::onAcknowledged(std::size_t Id) {
  Attempt &A = Attempts[Id];
  Part &P = Parts[A.Part];
  A.Acknowledged = true;
  // The home now hedges at the backend servers itself. Another home would not
  // know which servers it has used.
  P.HedgeAt = absl::InfiniteFuture();
  updateNextTimer();
}

bool RelayRequest::isIdempotent() const {
  if (Plan.MatchedRoute->Kind != RequestKind::Idempotent || Plan.RunsOnce)
    return false;
  const Route *Current = currentRoute();
  return Current == nullptr || Current->Kind == RequestKind::Idempotent;
}

bool RelayRequest::repeatable() const {
  if (!isIdempotent())
    return false;
  return !isForwarded() ||
         std::all_of(Attempts.begin(), Attempts.end(), [](const Attempt &A) {
           return A.NotExecuted || A.ChecksRepeats;
         });
}

int RelayRequest::maxAttempts() const {
  if (Plan.Repeated)
    return 1;
  int Limit = Plan.MatchedRoute->MaxAttempts;
  if (Plan.AskersLimit > 0)
    Limit = std::min(Limit, Plan.AskersLimit);
  const Route *Current = currentRoute();
  return Current != nullptr ? std::min(Limit, Current->MaxAttempts) : Limit;
}

bool RelayRequest::mayAttempt(const Part &P, TimePoint Now) const {
  // A part that a server may have run is not sent to another one again.
  return P.Sent < maxAttempts() ||
         (Now <= Plan.ObjectiveDeadline &&
          P.NotRunServers.size() == P.TriedServers.size() &&
          std::any_of(P.NotRunServers.begin(), P.NotRunServers.end(),
                      [&](const ServerRef &S) {
                        return S->takesAttempts() &&
                               permitsAttempt(S->Pause, Now);
                      }));
}

int RelayRequest::sharedAttempts() const {
  return isIdempotent() ? Plan.AskersLimit : 0;
}

bool RelayRequest::holdsBack(std::size_t Id) const {
  return isForwarded() && isIdempotent() && Attempts[Id].ChecksRepeats &&
         maxAttempts() > 1 && !mayRepeat(Id);
}

void RelayRequest::onClaimed(std::size_t Id, RelayActions &Out) {
  Attempt &A = Attempts[Id];
  // Another home that has got the request has got the attempts with it.
  if (!A.InFlight || Answered || Id + 1 != Attempts.size() || mayRepeat(Id))
    return;
  A.Granted = true;
  Parts[A.Part].HedgeAt = absl::InfiniteFuture();
  updateNextTimer();
  Out.push_back(GrantAttempts{Id});
}

bool RelayRequest::grantedAway() const {
  return std::any_of(Attempts.begin(), Attempts.end(), [](const Attempt &A) {
    return A.Granted && !A.NotExecuted;
  });
}

bool RelayRequest::isHeldBack(const Part &P) const {
  return Plan.LastAttemptHeldBack && !Granted && P.Sent > 0 &&
         P.Sent + 1 >= maxAttempts();
}

void RelayRequest::claim(TimePoint Now, RelayActions &Out) {
  if (ClaimedAt != absl::InfiniteFuture())
    return;
  ClaimedAt = Now;
  for (Part &P : Parts)
    P.ClaimAt = absl::InfiniteFuture();
  Out.push_back(ClaimAttempts{});
}

void RelayRequest::awaitGrant(std::size_t Index, TimePoint Now,
                              RelayActions &Out) {
  Part &P = Parts[Index];
  P.AwaitsGrant = true;
  P.HedgeAt = absl::InfiniteFuture();
  P.RetryAt = absl::InfiniteFuture();
  claim(Now, Out);
}

void RelayRequest::onGranted(TimePoint Now, RelayActions &Out) {
  if (ClaimedAt == absl::InfiniteFuture() || Granted)
    return;
  Granted = true;
  Plan.Claims->record(Now - ClaimedAt);
  if (Answered)
    return;
  for (Part &P : Parts) {
    if (!P.AwaitsGrant || P.State != PartState::Open)
      continue;
    if (P.InFlight == 0 && P.WaitId == 0)
      P.RetryAt = Now;
    else
      P.HedgeAt = Now;
  }
  onTimer(Now, Out);
}

void RelayRequest::abandonSilentHomes(std::size_t Index, TimePoint Now,
                                      RelayActions &Out) {
  for (std::size_t I = 0; I < Attempts.size(); ++I) {
    const Attempt &A = Attempts[I];
    if (A.Part != Index || !A.InFlight || A.Acknowledged ||
        A.Sent + hedgeDelay() > Now)
      continue;
    Plan.Targets[Index].Pool->eject(A.Server, Now + SilentHomeEjectionTime);
    Out.push_back(CancelRelayAttempt{I});
  }
}

bool RelayRequest::passedBack() const {
  return std::any_of(Attempts.begin(), Attempts.end(),
                     [](const Attempt &A) { return A.NotExecuted; });
}

bool RelayRequest::mayRepeat(std::size_t Id) const {
  return Plan.Repeated ||
         std::any_of(Attempts.begin(),
                     Attempts.begin() + static_cast<std::ptrdiff_t>(Id),
                     [](const Attempt &A) { return !A.NotExecuted; });
}

bool RelayRequest::mayBeRepeated() const {
  if (!mayHaveExecuted())
    return true;
  if (!repeatable() || Plan.HandedOver)
    return false;
  // What is held back is for this case.
  if (Plan.LastAttemptHeldBack)
    return !Granted;
  return !Plan.Repeated &&
         std::all_of(Parts.begin(), Parts.end(),
                     [this](const Part &P) { return P.Sent < maxAttempts(); });
}

bool RelayRequest::lacksServers() const {
  const auto OutOfReach = static_cast<std::size_t>(
      std::count_if(Plan.Targets.begin(), Plan.Targets.end(),
                    [](const RelayTarget &T) { return T.Pool->outOfReach(); }));
  return OutOfReach > 0 && Parts.size() - OutOfReach < neededParts();
}

void RelayRequest::onServersLost(TimePoint Now, RelayActions &Out) {
  if (Answered || isForwarded())
    return;
  // What may not be repeated can still be answered on a connection that lives
  // on; the connection ends it otherwise.
  const bool MayWait = !maySend();
  if (!MayWait)
    finishWithParts(Now, Out);
}

void RelayRequest::onStopping(TimePoint Now, RelayActions &Out) {
  if (!Answered)
    finishWithParts(Now, Out);
}

void RelayRequest::finishWithParts(TimePoint Now, RelayActions &Out) {
  if (AnsweredParts >= neededParts())
    finish(mergedResult(), Out);
  else
    finish(failureResult(Now), Out);
  updateNextTimer();
}

std::vector<ServiceOutlook> RelayRequest::outlook(TimePoint Now) const {
  const AttemptPermitRequest Request = permitRequest(Parts[0]);
  std::vector<ServiceOutlook> Out;
  Out.reserve(Plan.Targets.size());
  for (const RelayTarget &T : Plan.Targets) {
    ServiceOutlook S;
    // Admission is the home's decision; it knows the load of the servers.
    const Duration Delay =
        isForwarded() && T.Pool->hasReachableServer(Now, Plan.Zones)
            ? absl::ZeroDuration()
            : T.Pool->expectedDelay(Request, Now);
    // What the limits of servers delay is known, not estimated.
    S.Wait = T.Pool->limitDelay(Now) + Delay * ExpectedDelayFraction;
    S.PauseLeft = T.Pool->pauseLeft(Now);
    // Delays are those of all servers.
    S.Reachable =
        Plan.Zones == nullptr || T.Pool->hasReachableServer(Now, Plan.Zones);
    Out.push_back(S);
  }
  return Out;
}

void RelayRequest::start(TimePoint Now, RelayActions &Out) {
  for (RelayTarget &T : Plan.Targets)
    if (!Plan.Repeated)
      T.Budget->earn(Now);
  const bool Permitted =
      isIdempotent() && permitsSecondHome(*Plan.MatchedRoute,
                                          isForwarded() ? 0 : Plan.AskersLimit);
  if (Plan.Repeated && !Permitted) {
    finish(failureResult(Now), Out);
    return;
  }
  const AdmissionDecision Admission =
      decideAdmission(outlook(Now), neededParts(), latestStart() - Now);
  if (Admission.Verdict != AdmissionVerdict::Admit) {
    finish(Plan.Repeated ? failureResult(Now) : rejection(Admission, Now), Out);
    return;
  }
  for (std::size_t I = 0; I < Parts.size() && !Answered; ++I) {
    // A home that gets a repeated request pays for it.
    const bool Affordable =
        !Plan.Repeated || isForwarded() ||
        Plan.Targets[I].Budget->spend(0, Plan.BudgetSharers, Now);
    if (Admission.InTime[I] && Affordable)
      acquirePermit(I, AttemptCause::First, Now, Out);
    else
      failPart(I);
  }
  finishIfDecided(Now, Out);
  updateNextTimer();
}

AttemptPermitRequest RelayRequest::permitRequest(const Part &P) const {
  AttemptPermitRequest Request;
  Request.Stats = Plan.Stats.get();
  Request.Kind = Plan.MatchedRoute->Kind;
  Request.Objective = Plan.MatchedRoute->Objective;
  Request.Priority = Plan.MatchedRoute->Priority;
  Request.AccountPriority = Plan.AccountPriority;
  Request.Account = Plan.Account;
  Request.Zones = Plan.Zones;
  Request.ObjectiveDeadline = Plan.ObjectiveDeadline;
  Request.LatestStart = latestStart();
  Request.Excluded = P.TriedServers;
  if (P.Sent >= maxAttempts())
    Request.Only = P.NotRunServers;
  if (isForwarded() && mayHaveExecuted())
    for (const auto &[Name, Home] : Plan.Targets[0].Pool->servers())
      if (!Home->ChecksRepeats)
        Request.Excluded.push_back(Home);
  // An instance that reaches no home serves or rejects the request itself.
  Request.AllowUnreachable = !isForwarded();
  Request.Suspected = suspected();
  Request.Decisive =
      isSurvey() && Parts.size() - AnsweredParts <= DecisiveParts;
  return Request;
}

void RelayRequest::acquirePermit(std::size_t Index, AttemptCause Cause,
                                 TimePoint Now, RelayActions &Out) {
  Part &P = Parts[Index];
  const AttemptPermitRequest Request = permitRequest(P);
  AttemptPermit Acquired = Plan.Targets[Index].Pool->acquire(
      Request, true,
      [this, Index, Cause](const ServerRef &Server, TimePoint When) {
        Parts[Index].WaitId = 0;
        RelayActions Next;
        const bool Allowed =
            !blocked() && maySend() && mayAttempt(Parts[Index], When);
        if (Server != nullptr && Allowed) {
          send(Index, Server, Cause, When, Next);
        } else {
          if (Server != nullptr)
            Plan.Targets[Index].Pool->release(Server, When, AttemptReport(),
                                              *Plan.Stats, When);
          failPart(Index);
        }
        finishIfDecided(When, Next);
        updateNextTimer();
        OnDequeued(std::move(Next));
      },
      Now);
  if (Acquired.Outcome == AttemptPermitOutcome::Granted)
    send(Index, std::move(Acquired.Server), Cause, Now, Out);
  else if (Acquired.Outcome == AttemptPermitOutcome::Queued)
    P.WaitId = Acquired.WaitId;
  else
    failPart(Index);
}

void RelayRequest::send(std::size_t Index, ServerRef Server, AttemptCause Cause,
                        TimePoint Now, RelayActions &Out) {
  Part &P = Parts[Index];
  if (!eraseServer(P.NotRunServers, Server)) {
    ++P.Sent;
    P.TriedServers.push_back(Server);
  }
  ++P.InFlight;
  P.RetryAt = absl::InfiniteFuture();
  P.HedgeAt = absl::InfiniteFuture();
  P.ClaimAt = absl::InfiniteFuture();
  P.Obstacle = HedgeWithheldReason::None;
  if (isIdempotent() && P.Sent < maxAttempts()) {
    P.HedgeAt = Now + hedgeDelay();
    if (isHeldBack(P) && ClaimedAt == absl::InfiniteFuture())
      P.ClaimAt = std::max(Now, P.HedgeAt - Plan.Claims->expected());
  }
  Attempts.push_back(Attempt{Index, Server, Now, Cause});
  Attempts.back().ChecksRepeats = Server->ChecksRepeats;
  Out.push_back(SendRelayAttempt{Attempts.size() - 1, std::move(Server),
                                 Plan.Deadline - Now, Cause});
}

void RelayRequest::leaveQueue(std::size_t Index) {
  Part &P = Parts[Index];
  if (P.WaitId != 0)
    Plan.Targets[Index].Pool->cancelWait(P.WaitId);
  P.WaitId = 0;
}

void RelayRequest::failPart(std::size_t Index) {
  Part &P = Parts[Index];
  if (P.State != PartState::Open)
    return;
  P.State = PartState::Failed;
  P.HedgeAt = absl::InfiniteFuture();
  P.RetryAt = absl::InfiniteFuture();
  leaveQueue(Index);
  ++FailedParts;
}

/// True for the 2xx statuses, which a part of a survey needs.
static bool isSuccess(const BackendResponse &Response) {
  return Response.Status >= 200 && Response.Status < 300;
}

/// True for the 5xx statuses: another server may not fail in the same way.
static bool isServerError(const BackendResponse &Response) {
  return Response.Status >= 500;
}

bool RelayRequest::acceptResponse(std::size_t Index, const AttemptEnd &End) {
  Part &P = Parts[Index];
  if (End.Result != AttemptResult::Answered)
    return false;
  // The failure that a home responds with is final.
  const bool Acceptable =
      isSurvey() ? isSuccess(*End.Response) && !End.Response->Stamp.empty()
                 : isForwarded() || !isServerError(*End.Response);
  if (!Acceptable && (isSurvey() || isIdempotent())) {
    P.ErrorResponse = End.Response;
    return false;
  }
  P.Response = End.Response;
  P.State = PartState::Answered;
  Plan.Stats->recordBytes(End.Response->Body.size());
  P.HedgeAt = absl::InfiniteFuture();
  P.RetryAt = absl::InfiniteFuture();
  leaveQueue(Index);
  ++AnsweredParts;
  return true;
}

void RelayRequest::onAttemptEnd(std::size_t Id, const AttemptEnd &End,
                                TimePoint Now, RelayActions &Out) {
  Attempt &A = Attempts[Id];
  if (!A.InFlight)
    return;
  A.InFlight = false;
  const std::size_t Index = A.Part;
  Part &P = Parts[Index];
  --P.InFlight;
  AttemptReport Report;
  Report.Result = End.Result;
  Report.Elapsed = Now - A.Sent;
  Report.Load = End.Load;
  if (End.Result == AttemptResult::Answered && !isForwarded() &&
      isServerError(*End.Response))
    Report.Result = AttemptResult::BadReply;
  // A home that passed the request back has sent it to no backend server.
  if (End.Result == AttemptResult::NotSent ||
      (isForwarded() && provesNotRun(End.Result)))
    --P.Sent;
  Plan.Targets[Index].Pool->release(A.Server, A.Sent, Report, *Plan.Stats, Now);
  const bool NotExecuted = provesNotRun(End.Result);
  A.NotExecuted = NotExecuted;
  if (End.Result == AttemptResult::Shed && !isForwarded() && isIdempotent())
    P.NotRunServers.push_back(A.Server);
  if (End.RunsOnce && NotExecuted && !Plan.RunsOnce) {
    // The home serves the request once it is not told to expect a repeat.
    Plan.RunsOnce = true;
    eraseServer(P.TriedServers, A.Server);
  }
  if (!Answered && P.State == PartState::Open && !acceptResponse(Index, End)) {
    if (P.InFlight == 0 && P.WaitId == 0) {
      if (maySend())
        retryOrFail(Index, Now);
      else
        failPart(Index);
    }
  }
  finishIfDecided(Now, Out);
  updateNextTimer();
}

void RelayRequest::retryOrFail(std::size_t Index, TimePoint Now) {
  Part &P = Parts[Index];
  if (!mayAttempt(P, Now) || grantedAway()) {
    failPart(Index);
    return;
  }
  P.HedgeAt = absl::InfiniteFuture();
  // A server that has turned the part away may have a free slot once one of
  // its requests is done.
  P.RetryAt = P.Sent < maxAttempts() ? Now : Now + Plan.Stats->expected();
  if (P.RetryAt > Plan.ObjectiveDeadline && P.Sent >= maxAttempts())
    failPart(Index);
}

void RelayRequest::retry(std::size_t Index, TimePoint Now, RelayActions &Out) {
  Part &P = Parts[Index];
  RelayTarget &T = Plan.Targets[Index];
  const bool NobodyLeft = isForwarded()
                              ? !T.Pool->hasReachableServer(Now, Plan.Zones)
                              : T.Pool->outOfReach();
  if (blocked() || NobodyLeft || !maySend() || !mayAttempt(P, Now)) {
    failPart(Index);
    return;
  }
  // An attempt that was never sent reached no server, so its repeat counts as
  // the first attempt.
  const bool First = P.Sent == 0;
  if (isHeldBack(P)) {
    awaitGrant(Index, Now, Out);
    return;
  }
  const double Reserve = P.Sent < maxAttempts() ? 0 : ResendBudgetReserve;
  if (!First && !T.Budget->spend(Reserve, Plan.BudgetSharers, Now)) {
    P.RetryAt = Now + ExtraAttemptRecheckDelay;
    return;
  }
  P.RetryAt = absl::InfiniteFuture();
  acquirePermit(Index, First ? AttemptCause::First : AttemptCause::Retry, Now,
                Out);
  // A request that every home has passed back is rejected at once.
  if (P.State != PartState::Failed || isForwarded() ||
      !T.Pool->hasReachableServer(Now, Plan.Zones) ||
      Now + T.Pool->limitDelay(Now) > latestStart())
    return;
  // Every server has been tried. Start over after a delay: the first one may
  // have capacity by then.
  P.State = PartState::Open;
  --FailedParts;
  P.TriedServers.clear();
  P.NotRunServers.clear();
  P.RetryAt = Now + AllServersTriedDelay;
}

bool RelayRequest::mostPartsOpen() const {
  const std::size_t OpenParts = Parts.size() - AnsweredParts - FailedParts;
  return OpenParts > MinPartsForCommonDelay &&
         static_cast<double>(OpenParts) >
             static_cast<double>(Parts.size()) * CommonDelayShare;
}

void RelayRequest::hedge(std::size_t Index, TimePoint Now, RelayActions &Out) {
  Part &P = Parts[Index];
  RelayTarget &T = Plan.Targets[Index];
  // A hedge of a request that ends servers would end a second one at once.
  if (blocked() || suspected()) {
    P.HedgeAt = absl::InfiniteFuture();
    return;
  }
  if (!repeatable() || P.Sent >= maxAttempts()) {
    P.HedgeAt = absl::InfiniteFuture();
    // No other home may get the request. The caller can still repeat it if it
    // gets its answer now.
    if (isForwarded() && isIdempotent())
      abandonSilentHomes(Index, Now, Out);
    return;
  }
  const std::size_t OpenParts = Parts.size() - AnsweredParts - FailedParts;
  const bool FewPartsOpen = OpenParts <= 2;
  // If most parts are late, the cause is common to them: this instance is
  // behind with its work, or all servers are. Hedges would add to it.
  if (mostPartsOpen()) {
    P.Obstacle = HedgeWithheldReason::MostPartsOpen;
    P.HedgeAt = Now + ExtraAttemptRecheckDelay;
    return;
  }
  if (isHeldBack(P)) {
    awaitGrant(Index, Now, Out);
    return;
  }
  if (!T.Budget->spend(FewPartsOpen ? HedgeBudgetReserve
                                    : EarlyHedgeBudgetReserve,
                       Plan.BudgetSharers, Now)) {
    P.Obstacle = HedgeWithheldReason::Budget;
    P.HedgeAt = Now + ExtraAttemptRecheckDelay;
    return;
  }
  AttemptPermitRequest Request = permitRequest(P);
  Request.AllowUnhealthy = false;
  AttemptPermit Acquired = T.Pool->acquire(Request, false, nullptr, Now);
  if (Acquired.Outcome != AttemptPermitOutcome::Granted) {
    T.Budget->refund(Now);
    P.Obstacle = HedgeWithheldReason::NoServer;
    P.HedgeAt = Now + ExtraAttemptRecheckDelay;
    return;
  }
  send(Index, std::move(Acquired.Server), AttemptCause::Hedge, Now, Out);
  // A silent home that reads its request after all finds its connection closed,
  // so that the backend servers get the request from one home.
  if (isForwarded())
    abandonSilentHomes(Index, Now, Out);
}

void RelayRequest::onTimer(TimePoint Now, RelayActions &Out) {
  for (std::size_t I = 0; I < Parts.size() && !Answered; ++I) {
    if (Parts[I].State != PartState::Open)
      continue;
    if (Parts[I].ClaimAt <= Now) {
      Parts[I].ClaimAt = absl::InfiniteFuture();
      if (!mostPartsOpen() && !suspected())
        claim(Now, Out);
    }
    if (Parts[I].RetryAt <= Now)
      retry(I, Now, Out);
    if (Parts[I].HedgeAt <= Now)
      hedge(I, Now, Out);
  }
  finishIfDecided(Now, Out);
  updateNextTimer();
}

void RelayRequest::onCallerDisconnected(TimePoint, RelayActions &Out) {
  // At-most-once requests are not cancelled: the caller still wants their
  // effect.
  for (std::size_t I = 0; I < Attempts.size() && isIdempotent(); ++I)
    if (Attempts[I].InFlight)
      Out.push_back(CancelRelayAttempt{I});
  for (std::size_t I = 0; I < Parts.size(); ++I)
    leaveQueue(I);
  if (!Answered) {
    RelayResult V;
    V.Outcome = RelayOutcome::CallerDisconnected;
    finish(std::move(V), Out);
  }
  updateNextTimer();
}

RelayResult RelayRequest::mergedResult() const {
  RelayResult V;
  V.Outcome = RelayOutcome::Merged;
  for (const Part &P : Parts)
    if (P.State == PartState::Answered)
      V.Responses.push_back(P.Response);
  V.MissingParts = Parts.size() - V.Responses.size();
  return V;
}

bool RelayRequest::begun() const {
  return std::any_of(Attempts.begin(), Attempts.end(),
                     [](const Attempt &A) { return !A.NotExecuted; });
}

RelayResult RelayRequest::failureResult(TimePoint Now) const {
  RelayResult V;
  if (!isSurvey() && Parts[0].ErrorResponse != nullptr) {
    V.Outcome = RelayOutcome::Relayed;
    V.Responses.push_back(Parts[0].ErrorResponse);
    return V;
  }
  if (mayHaveExecuted()) {
    V.Outcome =
        Now >= Plan.Deadline ? RelayOutcome::TimedOut : RelayOutcome::Failed;
    return V;
  }
  // For a survey, Retry-After is taken from the first failed shard.
  std::size_t FirstFailed = 0;
  while (FirstFailed + 1 < Parts.size() &&
         Parts[FirstFailed].State != PartState::Failed)
    ++FirstFailed;
  const RelayTarget &Target = Plan.Targets[FirstFailed];
  const Duration LimitDelay = Target.Pool->limitDelay(Now);
  return rejection(Target,
                   LimitDelay == absl::InfiniteDuration()
                       ? UnservableRetryAfter
                       : std::max(Plan.Stats->expected() * 2, LimitDelay),
                   Now);
}

RelayResult RelayRequest::rejection(const AdmissionDecision &Admission,
                                    TimePoint Now) const {
  if (Admission.Verdict != AdmissionVerdict::Unservable)
    return rejection(Plan.Targets[Admission.Decisive], Admission.Excess, Now);
  RelayResult V;
  V.Outcome = RelayOutcome::Unservable;
  V.RetryAfter = UnservableRetryAfter;
  return V;
}

RelayResult RelayRequest::rejection(const RelayTarget &Target, Duration Wait,
                                    TimePoint Now) const {
  const Duration Pause = Target.Pool->pauseLeft(Now);
  RelayResult V;
  V.Outcome = RelayOutcome::Rejected;
  V.RetryAfter = Target.Pool->reserveRetryDelay(
      *Plan.Stats, std::max({Wait, MinRetryAfter, Pause}), Plan.Instances,
      Pause + (Plan.CallerDeadline - Now) * MaxRetryAfterFraction, Now);
  return V;
}

void RelayRequest::finishIfDecided(TimePoint Now, RelayActions &Out) {
  if (Answered)
    return;
  const std::size_t Needed = neededParts();
  const bool CoverageReached = AnsweredParts >= Needed;
  const bool AllDone = AnsweredParts + FailedParts == Parts.size();
  if (CoverageReached && (AllDone || Now >= Plan.ObjectiveDeadline)) {
    if (isSurvey()) {
      finish(mergedResult(), Out);
      return;
    }
    RelayResult V;
    V.Outcome = RelayOutcome::Relayed;
    V.Responses.push_back(Parts[0].Response);
    finish(std::move(V), Out);
    return;
  }
  const bool CoverageUnreachable = Parts.size() - FailedParts < Needed;
  if (CoverageUnreachable || Now >= Plan.Deadline)
    finish(failureResult(Now), Out);
}

void RelayRequest::finish(RelayResult Verdict, RelayActions &Out) {
  Answered = true;
  for (std::size_t I = 0; I < Parts.size(); ++I)
    leaveQueue(I);
  // A home is told to stop; a backend server finishes, since closing costs it a
  // new connection.
  for (std::size_t I = 0; I < Attempts.size() && isForwarded(); ++I)
    if (Attempts[I].InFlight && isIdempotent())
      Out.push_back(CancelRelayAttempt{I});
  for (Part &P : Parts) {
    P.Response.reset();
    P.ErrorResponse.reset();
  }
  Out.push_back(RespondToCaller{std::move(Verdict)});
}

void RelayRequest::updateNextTimer() {
  NextTimer = absl::InfiniteFuture();
  if (Answered)
    return;
  NextTimer = Plan.Deadline;
  if (AnsweredParts >= neededParts())
    NextTimer = std::min(NextTimer, Plan.ObjectiveDeadline);
  for (const Part &P : Parts)
    if (P.State == PartState::Open)
      NextTimer = std::min({NextTimer, P.HedgeAt, P.ClaimAt, P.RetryAt});
}

} // namespace quetzallead
