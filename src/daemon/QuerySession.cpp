#include "daemon/QuerySession.h"
#include "absl/strings/str_cat.h"
#include "daemon/DecisionRing.h"
#include "daemon/ServerEvents.h"
#include "daemon/TraceFile.h"
#include "runtime/Metrics.h"
#include <algorithm>
#include <deque>

namespace quetzallead {

/// Time kept back from a backend server's deadline for the way back.
static constexpr Duration WayBack = absl::Milliseconds(1);
static constexpr Duration LeastTimeout = absl::Milliseconds(1);
/// Limit on the exchange that cancels an attempt.
static constexpr Duration CancelTimeout = absl::Milliseconds(500);

QuerySession::QuerySession(QueryEnvironment &Environment, QueryJob TheJob,
                           Completion Done)
    : Env(Environment), Job(std::move(TheJob)),
      Query(Job.Plan, Job.Service->Stats->Budget), Waits(Job.Shards.size(), 0),
      OnDone(std::move(Done)) {
  Record.RequestId = Job.Context.RequestId;
  Record.Service = Job.Service->Spec.Name;
  Record.Kind = std::string(nameOf(MergeKindNames, Job.Plan.Kind));
  Record.Started = Job.Context.Received;
  Record.SheetRevision = Job.SheetRevision;
}

void QuerySession::start(QueryEnvironment &Env, QueryJob Job,
                         Completion OnDone) {
  std::shared_ptr<QuerySession> Session(
      new QuerySession(Env, std::move(Job), std::move(OnDone)));
  TimePoint Now = Env.Timers.now();
  Session->dispatch(Now, [Now, &Session](Survey &S, SurveyActions &Out) {
    Session->Mutex.assertHeld();
    Session->beginTrace();
    S.start(Now, Out);
  });
}

ReplicaSet &QuerySession::set(std::size_t Part) const {
  return *Job.Service->Shards[Job.Shards[Part]];
}

void QuerySession::onPermit(std::size_t Part, std::size_t Replica,
                            TimePoint Now) {
  dispatch(Now, [=](Survey &S, SurveyActions &Out) {
    Mutex.assertHeld();
    TraceEvent Traced;
    Traced.Kind = TraceEventKind::Permit;
    Traced.Part = Part;
    Traced.Replica = Replica;
    trace(std::move(Traced), Now);
    S.onPermit(Part, Replica, Now, Out);
  });
}

void QuerySession::onRefusal(std::size_t Part, MissingReason Reason,
                             TimePoint Now) {
  dispatch(Now, [=](Survey &S, SurveyActions &Out) {
    Mutex.assertHeld();
    if (Reason == MissingReason::OtherVersion)
      learnHeld(Part, Now);
    TraceEvent Traced;
    Traced.Kind = TraceEventKind::Refused;
    Traced.Part = Part;
    Traced.Reason = Reason;
    trace(std::move(Traced), Now);
    S.onRefused(Part, Reason, absl::ZeroDuration(), Now, Out);
  });
}

void QuerySession::dispatch(TimePoint Now, const Event &Feed) {
  std::vector<PermitGrant> Grants;
  Completion Done;
  QueryOutcome Outcome;
  // Ended without the lock, since its callback may be waiting for it.
  std::shared_ptr<TimerService::Subscription> OldTimer;
  {
    PosixMutexLock Lock(&Mutex);
    SurveyActions Out;
    Feed(Query, Out);
    perform(std::move(Out), Now, Grants);
    if (Query.finished() && !Answered) {
      Answered = true;
      Outcome.Result = Query.takeAnswer();
      Outcome.RetryAfter = Query.retryAfter();
      Outcome.ExtraAttempts = Query.extraAttempts();
      Outcome.Hedges = Query.hedges();
      endTrace(Outcome, Now);
      Record.Elapsed = Now - Record.Started;
      Record.Run = Outcome.Result.Run;
      Record.Wanted = Outcome.Result.Wanted;
      Record.Covered = Outcome.Result.Covered;
      Done = std::move(OnDone);
      OldTimer = std::move(Timer);
    }
    if (Answered && LiveCount == 0)
      closeRecord();
    if (!Answered)
      OldTimer = rearm();
  }
  for (const PermitGrant &Grant : Grants)
    Grant.deliver(Now);
  if (Done)
    Done(std::move(Outcome));
}

void QuerySession::perform(SurveyActions First, TimePoint Now,
                           std::vector<PermitGrant> &Grants) {
  std::deque<SurveyActions> Todo;
  Todo.push_back(std::move(First));
  while (!Todo.empty()) {
    SurveyActions Out = std::move(Todo.front());
    Todo.pop_front();
    for (const AbandonWait &Action : Out.Abandon) {
      set(Action.Part).abandon(Waits[Action.Part]);
      Waits[Action.Part] = 0;
    }
    for (const ReturnPermit &Action : Out.Return)
      giveBack(Action.Part, Action.Replica, Now, Grants);
    for (const SendAttempt &Action : Out.Send)
      send(Action, Now);
    for (const CancelAttempt &Action : Out.Cancel)
      cancel(Action);
    for (const AcquirePermit &Ask : Out.Acquire) {
      SurveyActions Next;
      acquire(Ask, Now, Next);
      Todo.push_back(std::move(Next));
    }
  }
}

void QuerySession::acquire(const AcquirePermit &Ask, TimePoint Now,
                           SurveyActions &Next) {
  PermitRequest Request;
  Request.Urgency = Job.Context.Urgency;
  Request.Deadline = Job.Plan.Deadline;
  Request.Version = Ask.Version;
  Request.Excluded = Ask.Excluded;
  Request.MayWait = Ask.MayWait;
  Request.Part = Ask.Part;
  Permit P = set(Ask.Part).acquire(Request, shared_from_this(), Now);
  TraceEvent Traced;
  Traced.Part = Ask.Part;
  Traced.Replica = P.Replica;
  Traced.Reason = P.Reason;
  Traced.RetryAfter = P.RetryAfter;
  switch (P.Outcome) {
  case PermitOutcome::Granted:
    Traced.Kind = TraceEventKind::Permit;
    trace(std::move(Traced), Now);
    Query.onPermit(Ask.Part, P.Replica, Now, Next);
    return;
  case PermitOutcome::Queued:
    Waits[Ask.Part] = P.WaitId;
    return;
  case PermitOutcome::Refused:
    if (P.Reason == MissingReason::OtherVersion)
      learnHeld(Ask.Part, Now);
    Traced.Kind = TraceEventKind::Refused;
    trace(std::move(Traced), Now);
    Query.onRefused(Ask.Part, P.Reason, P.RetryAfter, Now, Next);
    return;
  }
}

void QuerySession::learnHeld(std::size_t Part, TimePoint Now) {
  ReplicaMask Removed = 0;
  std::vector<HeldVersions> Held = set(Part).heldVersions(Removed);
  TraceEvent Traced;
  Traced.Kind = TraceEventKind::Held;
  Traced.Part = Part;
  Traced.HeldByReplica = Held;
  trace(std::move(Traced), Now);
  Query.learnHeld(Part, Held);
}

void QuerySession::giveBack(std::size_t Part, std::size_t Replica,
                            TimePoint Now, std::vector<PermitGrant> &Grants) {
  std::vector<PermitGrant> More =
      set(Part).release(Replica, AttemptReport(), Now);
  Grants.insert(Grants.end(), std::make_move_iterator(More.begin()),
                std::make_move_iterator(More.end()));
}

void QuerySession::send(const SendAttempt &Action, TimePoint Now) {
  BackendServerSpec Server = set(Action.Part).spec(Action.Replica);
  LiveAttempt A;
  A.Id = absl::StrCat(Job.Context.RequestId, "-", Action.Attempt);
  A.Part = Action.Part;
  A.Replica = Action.Replica;
  A.Version = Action.Version;
  A.Sent = Now;
  A.Record = Record.Attempts.size();
  AttemptRecord R;
  R.Shard = Job.Plan.Parts[Action.Part].Shard;
  R.Server = Server.Name;
  R.Version = Action.Version;
  R.Sent = Now;
  R.Cause = Action.Cause;
  Env.Meter.attemptStarted(Record.Service, Action.Cause);
  Record.Attempts.push_back(std::move(R));
  ++LiveCount;
  HttpCall Call = makeCall(A, Server, Now);
  Attempts.push_back(std::move(A));
  auto Self = shared_from_this();
  AttemptId Id = Action.Attempt;
  Attempts.back().Call =
      Env.Client.start(std::move(Call), [Self, Id](HttpOutcome Outcome) {
        Self->onExchange(Id, std::move(Outcome));
      });
}

HttpCall QuerySession::makeCall(const LiveAttempt &A,
                                const BackendServerSpec &Server,
                                TimePoint Now) const {
  HttpCall Call;
  Call.Method = "POST";
  Call.Address = Server.Address;
  Call.Target = absl::StrCat("/v1/shards/", Job.Service->Spec.Name, "/",
                             Job.Plan.Parts[A.Part].Shard, "/query");
  Call.Timeout = std::max(LeastTimeout, Job.Plan.Deadline - Now);
  Call.RequireEcho = true;
  Call.Headers.add("Content-Type", "application/json");
  Call.Headers.add("X-Request-Id", A.Id);
  Duration Left = std::max(LeastTimeout, Call.Timeout - WayBack);
  Call.Headers.add("Request-Timeout-Ms",
                   absl::StrCat(absl::ToInt64Milliseconds(Left)));
  if (!Job.Context.TraceParent.empty())
    Call.Headers.add("traceparent", Job.Context.TraceParent);
  Call.Body = encodeSubRequest(Job.Template, A.Id, A.Version);
  return Call;
}

void QuerySession::cancel(const CancelAttempt &Action) {
  LiveAttempt &A = Attempts[Action.Attempt];
  if (A.CancelAsked)
    return;
  A.CancelAsked = true;
  // Cancelling by a request keeps the connection warm, but needs another one.
  if (!set(A.Part).acquireOn(A.Replica)) {
    Env.Client.cancel(A.Call);
    return;
  }
  HttpCall Call;
  Call.Method = "DELETE";
  Call.Address = set(A.Part).spec(A.Replica).Address;
  Call.Target = "/v1/requests/" + A.Id;
  Call.Timeout = CancelTimeout;
  auto Self = shared_from_this();
  std::size_t Part = A.Part;
  std::size_t Replica = A.Replica;
  HttpClient::CallId Cancelled = A.Call;
  Env.Client.start(std::move(Call), [=](const HttpOutcome &Outcome) {
    if (Outcome.Failure != TransferFailure::None)
      Self->Env.Client.cancel(Cancelled);
    TimePoint Then = Self->Env.Timers.now();
    for (const PermitGrant &Grant :
         Self->set(Part).release(Replica, AttemptReport(), Then))
      Grant.deliver(Then);
  });
}

void QuerySession::onExchange(AttemptId Attempt, HttpOutcome Outcome) {
  TimePoint Now = Env.Timers.now();
  std::string Id;
  std::size_t Part = 0;
  std::size_t Replica = 0;
  {
    PosixMutexLock Lock(&Mutex);
    const LiveAttempt &A = Attempts[Attempt];
    Id = A.Id;
    Part = A.Part;
    Replica = A.Replica;
  }
  bool WantsCount = Job.Plan.Kind == MergeKind::Count;
  DecodedReply Reply = decodeReply(Outcome, Id, WantsCount);
  AttemptReport Report;
  Report.Result = Reply.Result;
  Report.Elapsed = Outcome.Elapsed;
  Report.Load = Reply.Load;
  if (Reply.Result == AttemptResult::WrongVersion)
    Report.Held = Reply.Held;
  if (Reply.Result == AttemptResult::Answered) {
    const Snapshot &Taken = Reply.Reply.Taken;
    Report.Held = Reply.Reply.Held;
    if (!Report.Held->known())
      Report.Held = HeldVersions{Taken.Epoch, Taken.Version, Taken.Version};
    Job.Service->Stats->Latencies.record(Outcome.Elapsed, Now);
  }
  std::vector<PermitGrant> Grants = set(Part).release(Replica, Report, Now);
  reportServerEvent(Env, set(Part), Replica, Reply.Result);
  dispatch(Now, [&](Survey &S, SurveyActions &Out) {
    Mutex.assertHeld();
    --LiveCount;
    record(Attempts[Attempt], Reply, Outcome.Elapsed);
    TraceEvent Traced;
    Traced.Attempt = Attempt;
    Traced.Result = Reply.Result;
    Traced.Held = Reply.Held;
    bool IsAnswer = Reply.Result == AttemptResult::Answered;
    Traced.Kind = IsAnswer ? TraceEventKind::Reply : TraceEventKind::Failure;
    if (Trace != nullptr && IsAnswer)
      Traced.Reply = Reply.Reply;
    trace(std::move(Traced), Now);
    if (IsAnswer)
      S.onReply(Attempt, std::move(Reply.Reply), Now, Out);
    else
      S.onFailure(Attempt, Reply.Result, Reply.Held, Now, Out);
  });
  for (const PermitGrant &Grant : Grants)
    Grant.deliver(Now);
}

void QuerySession::record(LiveAttempt &A, const DecodedReply &Reply,
                          Duration Elapsed) {
  if (A.Record >= Record.Attempts.size())
    return;
  AttemptRecord &R = Record.Attempts[A.Record];
  R.Ended = true;
  R.Elapsed = Elapsed;
  R.Result = Reply.Result;
  R.Detail = Reply.Detail;
  if (Reply.Result == AttemptResult::Answered)
    R.Version = Reply.Reply.Taken.Version;
}

std::shared_ptr<TimerService::Subscription> QuerySession::rearm() {
  TimePoint Next = Query.nextTimer();
  if (Next == TimerAt && Timer != nullptr)
    return nullptr;
  TimerAt = Next;
  std::shared_ptr<TimerService::Subscription> Old = std::move(Timer);
  auto Self = shared_from_this();
  Timer = Env.Timers.at(Next, [Self](TimePoint Now) {
    Self->dispatch(Now, [Self, Now](Survey &S, SurveyActions &Out) {
      Self->Mutex.assertHeld();
      Self->trace(TraceEvent(), Now);
      S.onTimer(Now, Out);
    });
  });
  return Old;
}

void QuerySession::beginTrace() {
  if (!Env.Traces.takesNext())
    return;
  Trace = std::make_unique<SurveyTrace>();
  Trace->Title = Job.Context.RequestId;
  Trace->Plan = Job.Plan;
  // Times of a trace count from the receipt of the request.
  Duration Shift = Job.Context.Received - absl::UnixEpoch();
  Trace->Plan.Deadline -= Shift;
  Trace->Plan.CoverageDeadline -= Shift;
  Trace->Budget = Job.Service->Stats->Budget.available(Env.Timers.now());
}

void QuerySession::trace(TraceEvent Traced, TimePoint Now) {
  if (Trace == nullptr)
    return;
  Traced.At = Now - Job.Context.Received;
  Trace->Events.push_back(std::move(Traced));
}

void QuerySession::endTrace(const QueryOutcome &Outcome, TimePoint Now) {
  if (Trace == nullptr)
    return;
  Trace->Outcome = outcomeOf(Outcome.Result, Now - Job.Context.Received,
                             static_cast<int>(Attempts.size()), Outcome.Hedges);
  Env.Traces.write(formatTrace(*Trace));
  Trace.reset();
}

void QuerySession::closeRecord() {
  if (Record.RequestId.empty())
    return;
  Env.Decisions.add(std::move(Record));
  Record = DecisionRecord();
}

} // namespace quetzallead
