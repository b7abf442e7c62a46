#include "daemon/CommandService.h"
#include "absl/strings/str_cat.h"
#include "core/command/CommandFingerprint.h"
#include "core/command/HandoverStatement.h"
#include "daemon/ClusterDirectory.h"
#include "daemon/CommandResponse.h"
#include "daemon/CommandWire.h"
#include "daemon/DecisionRing.h"
#include "daemon/ServerEvents.h"
#include "runtime/Metrics.h"
#include "transport/http/HttpClient.h"
#include <algorithm>
#include <nlohmann/json.hpp>

namespace quetzallead {

static constexpr Duration TickPeriod = absl::Seconds(1);
static constexpr Duration LeastTimeout = absl::Milliseconds(1);
/// Time kept back from a forwarded command for the way back.
static constexpr Duration ForwardWayBack = absl::Milliseconds(5);

/// One attempt of a command: waits for its permit, then for its reply.
class CommandService::Attempt : public PermitListener,
                                public std::enable_shared_from_this<Attempt> {
public:
  Attempt(CommandService &Service, const RunAttempt &Run)
      : Owner(Service), Action(Run) {}

  void onPermit(std::size_t, std::size_t Granted, TimePoint Now) override {
    Owner.onPermit(shared_from_this(), Granted, Now);
  }
  void onRefusal(std::size_t, MissingReason, TimePoint) override {
    Owner.endWithoutReplica(shared_from_this());
  }

  CommandService &Owner;
  const RunAttempt Action;
  std::shared_ptr<ReplicaSet> Set;
  std::size_t Replica = 0;
  /// Identifier on the wire.
  std::string Id;
  /// Index of its decision record.
  std::size_t Record = 0;
  /// Ends the wait for a permit; both are guarded by the service's mutex.
  std::shared_ptr<TimerService::Subscription> Expiry;
  bool Ended = false;
};

CommandService::CommandService(ClusterDirectory &Dir,
                               QueryEnvironment Environment,
                               std::string Instance, std::uint64_t Incarnation,
                               std::shared_ptr<const KeyRing> Keys,
                               CommandLedger::StandingOf Standing,
                               Forwarder ForwardTo)
    : Directory(Dir), Env(std::move(Environment)),
      Forward(std::move(ForwardTo)),
      Ledger(std::move(Instance), Incarnation, std::move(Keys),
             std::move(Standing)) {
  Ticker = Env.Timers.every(TickPeriod, [this](TimePoint Now) {
    PosixMutexLock Lock(&Mutex);
    Ledger.tick(Now);
  });
}

std::string CommandService::issueTicket(TimePoint Now) {
  PosixMutexLock Lock(&Mutex);
  return Ledger.issueTicket(Now);
}

void CommandService::replaceKeys(std::shared_ptr<const KeyRing> Keys) {
  PosixMutexLock Lock(&Mutex);
  Ledger.replaceKeys(std::move(Keys));
}

void CommandService::run(CommandJob Job, const Completion &OnDone) {
  std::shared_ptr<const ServiceView> Service =
      Directory.view()->service(Job.Service);
  Duration Limit = absl::ZeroDuration();
  std::string Shard;
  if (Service != nullptr) {
    Limit = Job.Request.Timeout.value_or(Service->Spec.Timeout);
    Shard = Service->Spec.Shards[Service->shardOf(Job.Request.Key)].Name;
  }
  TimePoint Deadline = Job.Context.Received + Limit;
  std::string RequestId = Job.Context.RequestId;
  std::string Name = Job.Service;
  arrive(std::move(Job), Deadline, /*Forwarded=*/false,
         [=](const CommandAnswer &Answer) {
           OnDone(commandResponse(RequestId, Name, Shard, Answer));
         });
}

void CommandService::runForwarded(ForwardedCommand Command,
                                  AnswerCompletion OnDone) {
  arrive(std::move(Command.Job), Command.Deadline, /*Forwarded=*/true,
         std::move(OnDone));
}

void CommandService::arrive(CommandJob Job, TimePoint Deadline, bool Forwarded,
                            AnswerCompletion OnDone) {
  CommandArrival Arrival;
  Arrival.TicketText = Job.Ticket;
  Arrival.Fingerprint = fingerprintOf(Job.SessionId, Job.Service, Job.Body);
  Arrival.Deadline = Deadline;
  Arrival.Forwarded = Forwarded;
  TimePoint Now = Job.Context.Received;
  Pending P;
  P.Service = Directory.view()->service(Job.Service);
  if (P.Service != nullptr)
    P.Shard = P.Service->shardOf(Job.Request.Key);
  P.Deadline = Deadline;
  P.Forwarded = Forwarded;
  P.OnDone = std::move(OnDone);
  P.Record.RequestId = Job.Context.RequestId;
  P.Record.Service = Job.Service;
  P.Record.Kind = Forwarded ? "forwarded command" : "command";
  P.Record.Started = Now;
  P.Record.Wanted = 1;
  P.Record.SheetRevision = Directory.view()->Revision;
  P.Job = std::move(Job);
  dispatch([&](CommandLedger &L) {
    Mutex.assertHeld();
    Arrival.Id = NextArrival++;
    Arrivals.emplace(Arrival.Id, std::move(P));
    return L.received(Arrival, Now);
  });
}

void CommandService::dispatch(
    const std::function<CommandActions(CommandLedger &)> &Feed) {
  CommandActions Actions;
  {
    PosixMutexLock Lock(&Mutex);
    Actions = Feed(Ledger);
  }
  for (CommandAction &Action : Actions) {
    if (auto *Run = std::get_if<RunAttempt>(&Action))
      startAttempt(*Run);
    else if (auto *To = std::get_if<ForwardCommand>(&Action))
      forward(*To);
    else if (auto *Answer = std::get_if<AnswerCommand>(&Action))
      answer(std::move(*Answer));
  }
}

void CommandService::answer(AnswerCommand Action) {
  Pending P;
  {
    PosixMutexLock Lock(&Mutex);
    auto It = Arrivals.find(Action.ArrivalId);
    if (It == Arrivals.end())
      return;
    P = std::move(It->second);
    Arrivals.erase(It);
  }
  CommandAnswer &Answer = Action.Answer;
  P.Record.Elapsed = Env.Timers.now() - P.Record.Started;
  P.Record.Run = Answer.State;
  P.Record.Detail = std::string(nameOf(CommandStatusNames, Answer.Status));
  P.Record.Covered = Answer.Status == CommandStatus::Answered ? 1 : 0;
  Env.Decisions.add(std::move(P.Record));
  P.OnDone(std::move(Answer));
}

void CommandService::startAttempt(const RunAttempt &Action) {
  auto A = std::make_shared<Attempt>(*this, Action);
  PermitRequest Request;
  {
    PosixMutexLock Lock(&Mutex);
    const Pending &P = Arrivals.at(Action.ArrivalId);
    Request.Urgency = P.Job.Context.Urgency;
    Request.Deadline = P.Deadline;
    Request.Excluded = P.Tried;
    if (P.Service != nullptr)
      A->Set = P.Service->Shards[P.Shard];
  }
  if (A->Set == nullptr)
    return endWithoutReplica(A);
  TimePoint Now = Env.Timers.now();
  Permit Got = A->Set->acquire(Request, A, Now);
  if (Got.Outcome == PermitOutcome::Granted)
    return onPermit(A, Got.Replica, Now);
  if (Got.Outcome == PermitOutcome::Refused)
    return endWithoutReplica(A);
  std::uint64_t WaitId = Got.WaitId;
  auto Expiry = Env.Timers.at(Request.Deadline, [this, A, WaitId](TimePoint) {
    if (A->Set->abandon(WaitId))
      endWithoutReplica(A);
  });
  PosixMutexLock Lock(&Mutex);
  // The permit may have come meanwhile.
  if (!A->Ended)
    A->Expiry = std::move(Expiry);
}

void CommandService::endWaiting(const std::shared_ptr<Attempt> &A) {
  std::shared_ptr<TimerService::Subscription> Expiry;
  PosixMutexLock Lock(&Mutex);
  A->Ended = true;
  Expiry = std::move(A->Expiry);
}

void CommandService::endWithoutReplica(const std::shared_ptr<Attempt> &A) {
  endWaiting(A);
  TimePoint Now = Env.Timers.now();
  dispatch([&](CommandLedger &L) {
    return L.noReplicaLeft(A->Action.Sequence, Now);
  });
}

void CommandService::onPermit(const std::shared_ptr<Attempt> &A,
                              std::size_t Replica, TimePoint Now) {
  endWaiting(A);
  BackendServerSpec Server = A->Set->spec(Replica);
  A->Replica = Replica;
  HttpCall Call;
  {
    PosixMutexLock Lock(&Mutex);
    Pending &P = Arrivals.at(A->Action.ArrivalId);
    P.Tried |= replicaBit(Replica);
    A->Id = absl::StrCat(P.Job.Context.RequestId, "-", A->Action.Attempt);
    A->Record = P.Record.Attempts.size();
    AttemptRecord R;
    R.Shard = P.Service->Spec.Shards[P.Shard].Name;
    R.Server = Server.Name;
    R.Sent = Now;
    R.Cause =
        A->Action.Attempt == 1 ? AttemptCause::First : AttemptCause::Retry;
    Env.Meter.attemptStarted(P.Job.Service, R.Cause);
    P.Record.Attempts.push_back(std::move(R));
    Call = makeCall(P, *A, Server, Now);
  }
  Env.Client.start(std::move(Call), [this, A](HttpOutcome Outcome) {
    onExchange(A, std::move(Outcome));
  });
}

HttpCall CommandService::makeCall(const Pending &P, const Attempt &A,
                                  const BackendServerSpec &Server,
                                  TimePoint Now) {
  const ServiceSpec &Spec = P.Service->Spec;
  nlohmann::json Body;
  Body["id"] = A.Id;
  Body["epoch"] = Spec.Epoch;
  Body["key"] = P.Job.Request.Key;
  Body["command"] = P.Job.Request.Command;
  HttpCall Call;
  Call.Method = "POST";
  Call.Address = Server.Address;
  Call.Target = absl::StrCat("/v1/shards/", Spec.Name, "/",
                             Spec.Shards[P.Shard].Name, "/command");
  Call.Timeout = std::max(LeastTimeout, P.Deadline - Now);
  Call.RequireEcho = true;
  Call.Headers.add("Content-Type", "application/json");
  Call.Headers.add("X-Request-Id", A.Id);
  Call.Headers.add("Idempotency-Key", P.Job.Ticket);
  Call.Headers.add("Request-Timeout-Ms",
                   absl::StrCat(absl::ToInt64Milliseconds(Call.Timeout)));
  if (!P.Job.Context.TraceParent.empty())
    Call.Headers.add("traceparent", P.Job.Context.TraceParent);
  Call.Body =
      Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return Call;
}

/// What the ledger may conclude from an exchange. A cancelled command, or one
/// whose reply cannot be read, may have run.
static AttemptOutcome outcomeOf(AttemptResult Result) {
  if (Result == AttemptResult::Answered)
    return AttemptOutcome::Answered;
  if (Result == AttemptResult::NotSent)
    return AttemptOutcome::NotSent;
  return provesNotRun(Result) ? AttemptOutcome::RefusedUnrun
                              : AttemptOutcome::Unknown;
}

void CommandService::onExchange(const std::shared_ptr<Attempt> &A,
                                HttpOutcome Outcome) {
  TimePoint Now = Env.Timers.now();
  DecodedReply Reply = decodeReply(Outcome, A->Id, /*WantsCount=*/false);
  AttemptReport Report;
  Report.Result = Reply.Result;
  Report.Elapsed = Outcome.Elapsed;
  Report.Load = Reply.Load;
  std::vector<PermitGrant> Grants = A->Set->release(A->Replica, Report, Now);
  reportServerEvent(Env, *A->Set, A->Replica, Reply.Result);
  for (const PermitGrant &Grant : Grants)
    Grant.deliver(Now);
  std::string Body;
  if (Reply.Result == AttemptResult::Answered)
    Body = std::move(Outcome.Response.Body);
  dispatch([&](CommandLedger &L) {
    Mutex.assertHeld();
    AttemptRecord &R =
        Arrivals.at(A->Action.ArrivalId).Record.Attempts[A->Record];
    R.Ended = true;
    R.Elapsed = Outcome.Elapsed;
    R.Result = Reply.Result;
    R.Detail = Reply.Detail;
    return L.attemptEnded(A->Action.Sequence, outcomeOf(Reply.Result),
                          std::move(Body), Now);
  });
}

void CommandService::forward(const ForwardCommand &Action) {
  std::string Bytes;
  Duration Timeout;
  TimePoint Now = Env.Timers.now();
  {
    PosixMutexLock Lock(&Mutex);
    const Pending &P = Arrivals.at(Action.ArrivalId);
    TimePoint Deadline = P.Deadline - ForwardWayBack;
    Timeout = std::max(LeastTimeout, P.Deadline - Now);
    Bytes = encodeCommand(P.Job, Deadline, Now);
  }
  std::uint64_t Id = Action.ArrivalId;
  Forward(Action.Instance, std::move(Bytes), Timeout,
          [this, Id](const std::optional<std::string> &Reply) {
            onForwarded(Id, Reply);
          });
}

void CommandService::onForwarded(std::uint64_t ArrivalId,
                                 const std::optional<std::string> &Reply) {
  std::optional<CommandAnswer> Answer;
  if (Reply)
    Answer = decodeCommandAnswer(*Reply);
  TimePoint Now = Env.Timers.now();
  dispatch([&](CommandLedger &L) {
    return Answer ? L.forwardAnswered(ArrivalId, std::move(*Answer), Now)
                  : L.forwardFailed(ArrivalId);
  });
}

void CommandService::drain() {
  PosixMutexLock Lock(&Mutex);
  Ledger.drain();
}

bool CommandService::isDrained() const {
  PosixMutexLock Lock(&Mutex);
  return Ledger.isDrained();
}

std::vector<std::string> CommandService::lastWords() const {
  TimePoint Now = Env.Timers.now();
  std::vector<std::string> Words;
  PosixMutexLock Lock(&Mutex);
  for (const HandoverStatement &Statement : Ledger.lastWords())
    Words.push_back(encodeHandover(Statement, Now));
  return Words;
}

bool CommandService::takeOver(absl::string_view Bytes) {
  TimePoint Now = Env.Timers.now();
  std::optional<HandoverStatement> Statement = decodeHandover(Bytes, Now);
  if (!Statement)
    return false;
  PosixMutexLock Lock(&Mutex);
  return Ledger.takeOver(std::move(*Statement), Now);
}

} // namespace quetzallead
