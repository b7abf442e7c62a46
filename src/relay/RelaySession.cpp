#include "relay/RelaySession.h"

namespace quetzallead {

/// An attempt may outlive its request by this before its connection is closed,
/// so that the server's own answer at the deadline is still read.
static constexpr Duration AttemptSlack = absl::Milliseconds(150);

RelaySession::RelaySession(BackendClient &GivenBackends,
                           LoopTimers &GivenTimers,
                           const HeaderNames &GivenNames, RelayCall GivenCall,
                           std::shared_ptr<const RouteTable> GivenTable,
                           RelayPlan Plan, Completion GivenOnDone)
    : Backends(GivenBackends), Timers(GivenTimers), Names(GivenNames),
      Call(std::move(GivenCall)), Table(std::move(GivenTable)),
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
      encodeAttempt(Call, Names, Action.Server->Info.Id, Action.TimeLeft);
  Exchange.HeadRequest = Call.Method == "HEAD";
  Exchange.Deadline = LoopTimers::now() + Action.TimeLeft + AttemptSlack;
  Exchange.EchoHeader = Names.RequestId;
  Exchange.EchoValue = Call.RequestId;
  const std::size_t Attempt = Action.Attempt;
  Connections.resize(std::max(Connections.size(), Attempt + 1));
  auto Self = shared_from_this();
  Connections[Attempt] = Backends.send(
      Action.Server, std::move(Exchange),
      [Self, Attempt](const HttpExchangeEnd &End) {
        Self->Connections[Attempt] = nullptr;
        const TimePoint Now = LoopTimers::now();
        RelayActions Next;
        Self->Request.onEnd(Attempt, decodeEnd(End, Self->Names), Now, Next);
        Self->perform(std::move(Next));
        Self->rearm();
        Self->Request.poolOf(Attempt)->serveQueue(Now);
      });
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
  Timer = Timers.at(Due, [Weak](TimePoint Now) {
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
