#include "relay/RelaySession.h"
#include "relay/RelayMetrics.h"
#include "runtime/Logger.h"

namespace quetzallead {

/// An attempt may outlive its request by this before its connection is closed,
/// so that the server's own answer at the deadline is still read.
static constexpr Duration AttemptSlack = absl::Milliseconds(150);

RelaySession::RelaySession(RelayParts Shared, RelayCall GivenCall,
                           std::shared_ptr<const RouteTable> GivenTable,
                           RelayPlan Plan, Completion GivenOnDone)
    : Parts(Shared), Call(std::move(GivenCall)), Table(std::move(GivenTable)),
      Request(std::move(Plan)), OnDone(std::move(GivenOnDone)) {}

void RelaySession::start() {
  std::weak_ptr<RelaySession> Weak = shared_from_this();
  Request.OnPlaced = [Weak](RelayActions Actions) {
    if (auto Self = Weak.lock()) {
      Self->perform(std::move(Actions));
      Self->rearm();
    }
  };
  RelayActions Actions;
  Request.start(LoopTimers::now(), Actions);
  perform(std::move(Actions));
  rearm();
}

void RelaySession::callerLeft() {
  auto Hold = shared_from_this();
  OnDone = nullptr;
  RelayActions Actions;
  Request.onCallerLeft(LoopTimers::now(), Actions);
  perform(std::move(Actions));
  rearm();
}

void RelaySession::perform(RelayActions Actions) {
  auto Hold = shared_from_this();
  for (RelayAction &Action : Actions) {
    if (auto *Send = std::get_if<SendRelayAttempt>(&Action)) {
      send(*Send);
    } else if (auto *Cancel = std::get_if<CancelRelayAttempt>(&Action)) {
      if (auto C = Connections[Cancel->Attempt])
        C->close();
    } else if (auto *Answer = std::get_if<AnswerCaller>(&Action)) {
      if (OnDone) {
        Completion Done = std::move(OnDone);
        OnDone = nullptr;
        Done(Answer->Verdict);
      }
    }
  }
}

void RelaySession::send(const SendRelayAttempt &Action) {
  HttpExchange Exchange;
  Exchange.Bytes =
      encodeAttempt(Call, Parts.Names, Action.Server->Info.Id, Action.TimeLeft);
  Exchange.HeadRequest = Call.Method == "HEAD";
  Exchange.Deadline = LoopTimers::now() + Action.TimeLeft + AttemptSlack;
  Exchange.EchoHeader = Parts.Names.RequestId;
  Exchange.EchoValue = Call.RequestId;
  const std::size_t Attempt = Action.Attempt;
  Connections.resize(std::max(Connections.size(), Attempt + 1));
  if (Action.Cause != AttemptCause::First)
    logExtra(Action, LoopTimers::now());
  auto Self = shared_from_this();
  Connections[Attempt] =
      Parts.Backends.send(Action.Server, std::move(Exchange),
                          [Self, Attempt](const HttpExchangeEnd &End) {
                            Self->onEnd(Attempt, End);
                          });
}

void RelaySession::onEnd(std::size_t Attempt, const HttpExchangeEnd &Raw) {
  Connections[Attempt] = nullptr;
  const TimePoint Now = LoopTimers::now();
  const AttemptEnd End = decodeEnd(Raw, Parts.Names);
  Parts.Metrics.attemptEnded(Request.serviceOf(Attempt),
                             Request.causeOf(Attempt), End.Result,
                             Now - Request.sentAt(Attempt));
  logEnd(Attempt, End, Now);
  RelayActions Next;
  Request.onEnd(Attempt, End, Now, Next);
  perform(std::move(Next));
  rearm();
  Request.poolOf(Attempt)->serveQueue(Now);
}

void RelaySession::logExtra(const SendRelayAttempt &Action,
                            TimePoint Now) const {
  const PoolServer &S = *Action.Server;
  const RelayPlan &Plan = Request.plan();
  logEvent(
      LogLevel::Info, "attempt_added",
      {{"request", Call.RequestId},
       {"service", S.Info.Service},
       {"server", S.Info.Id},
       {"cause", nameOf(AttemptCauseNames, Action.Cause)},
       {"ms", absl::ToInt64Milliseconds(Now - Plan.Arrived)},
       {"expected_ms", absl::ToDoubleMilliseconds(Plan.Stats->expected())},
       {"slowness", BackendPool::slowness(S, Now)},
       {"in_flight", S.inFlight()},
       {"report_age_ms", S.ReportedAt == absl::InfinitePast()
                             ? -1
                             : absl::ToInt64Milliseconds(Now - S.ReportedAt)}});
}

void RelaySession::logEnd(std::size_t Attempt, const AttemptEnd &End,
                          TimePoint Now) const {
  const unsigned Status = End.Answer != nullptr ? End.Answer->Status : 0;
  const bool Expected = End.Result == AttemptResult::Cancelled ||
                        (End.Result == AttemptResult::Answered && Status < 500);
  if (Expected)
    return;
  logEvent(LogLevel::Info, "attempt_failed",
           {{"request", Call.RequestId},
            {"service", Request.serviceOf(Attempt)},
            {"server", Request.serverOf(Attempt)->Info.Id},
            {"cause", nameOf(AttemptCauseNames, Request.causeOf(Attempt))},
            {"result", nameOf(AttemptResultNames, End.Result)},
            {"status", Status},
            {"ms", absl::ToInt64Milliseconds(Now - Request.sentAt(Attempt))}});
}

void RelaySession::rearm() {
  const TimePoint Due = Request.nextTimer();
  if (Due == TimerAt && Timer != nullptr)
    return;
  TimerAt = Due;
  Timer.reset();
  if (Due == absl::InfiniteFuture())
    return;
  std::weak_ptr<RelaySession> Weak = shared_from_this();
  Timer = Parts.Timers.at(Due, [Weak](TimePoint Now) {
    auto Self = Weak.lock();
    if (Self == nullptr)
      return;
    Self->Timer.reset();
    RelayActions Actions;
    Self->Request.onTimer(Now, Actions);
    Self->perform(std::move(Actions));
    Self->rearm();
  });
}

} // namespace quetzallead
