#include "relay/RelaySession.h"
#include "relay/AttemptCodec.h"
#include "relay/RelayMetrics.h"
#include "relay/RequestFingerprint.h"
#include "runtime/Logger.h"

namespace quetzallead {

/// Time after the deadline of an attempt before its connection is closed, so
/// that a response that the server sends at the deadline is still read.
static constexpr Duration AttemptGracePeriod = absl::Milliseconds(150);
/// Shorter bodies of requests are kept until the last attempt has ended.
static constexpr std::size_t MinDroppedBody = std::size_t{16} << 10;

RelaySession::RelaySession(RelaySessionContext GivenContext,
                           ForwardedRequest GivenCall,
                           std::shared_ptr<const RouteTable> GivenTable,
                           RelayPlan Plan, Completion GivenOnDone)
    : Context(GivenContext), Call(std::move(GivenCall)),
      Table(std::move(GivenTable)), Request(std::move(Plan)),
      OnDone(std::move(GivenOnDone)), Hold(Context.Memory, MemoryUse::Request) {
  updateHold();
}

void RelaySession::updateHold() {
  Hold.resize(sizeof(*this) + Call.Body.capacity() + Call.Headers.capacity() +
              Request.heldBytes());
}

void RelaySession::dropBodies() {
  if (Call.Body.size() >= MinDroppedBody) {
    Call.Fingerprint = requestFingerprint(Call);
    std::string().swap(Call.Body);
  }
  // The answer of a home is signed with its body.
  if (!Context.Codec.Acknowledged)
    for (const auto &Connection : Connections)
      if (Connection != nullptr)
        Connection->discardResponse();
  updateHold();
}

void RelaySession::start() {
  std::weak_ptr<RelaySession> Weak = shared_from_this();
  Request.OnDequeued = [Weak](RelayActions Actions) {
    if (auto Self = Weak.lock()) {
      Self->perform(std::move(Actions));
      Self->updateTimer();
    }
  };
  if (Context.Codec.IsSuspected)
    Request.IsSuspected = [Weak] {
      auto Self = Weak.lock();
      return Self != nullptr && Self->Context.Codec.IsSuspected(Self->Call);
    };
  if (Context.Codec.IsBlocked)
    Request.IsBlocked = [Weak] {
      auto Self = Weak.lock();
      return Self != nullptr && Self->Context.Codec.IsBlocked(Self->Call);
    };
  if (Context.Codec.CurrentTable)
    Request.CurrentRoute = [this]() -> const Route * {
      CurrentTable = Context.Codec.CurrentTable();
      return CurrentTable != nullptr && CurrentTable != Table
                 ? CurrentTable->find(Call.Host, Call.Target)
                 : nullptr;
    };
  RelayActions Actions;
  Request.start(LoopTimers::now(), Actions);
  perform(std::move(Actions));
  updateTimer();
}

void RelaySession::onCallerDisconnected() {
  auto KeepAlive = shared_from_this();
  OnDone = nullptr;
  RelayActions Actions;
  Request.onCallerDisconnected(LoopTimers::now(), Actions);
  perform(std::move(Actions));
  updateTimer();
  dropBodies();
}

void RelaySession::onServersLost() {
  auto KeepAlive = shared_from_this();
  RelayActions Actions;
  Request.onServersLost(LoopTimers::now(), Actions);
  perform(std::move(Actions));
  updateTimer();
}

void RelaySession::onStopping() {
  auto KeepAlive = shared_from_this();
  RelayActions Actions;
  Request.onStopping(LoopTimers::now(), Actions);
  perform(std::move(Actions));
  updateTimer();
}

void RelaySession::onGranted() {
  RelayActions Actions;
  Request.onGranted(LoopTimers::now(), Actions);
  perform(std::move(Actions));
  updateTimer();
}

void RelaySession::onInformational(std::size_t Attempt,
                                   const HttpResponseHead &Head) {
  RelayActions Actions;
  if (Context.Codec.IsClaim && Context.Codec.IsClaim(Call, Head))
    Request.onClaimed(Attempt, Actions);
  else
    Request.onAcknowledged(Attempt);
  perform(std::move(Actions));
  updateTimer();
}

void RelaySession::perform(RelayActions Actions) {
  auto KeepAlive = shared_from_this();
  for (RelayAction &Action : Actions) {
    if (auto *Send = std::get_if<SendRelayAttempt>(&Action)) {
      send(*Send);
    } else if (auto *Cancel = std::get_if<CancelRelayAttempt>(&Action)) {
      if (auto Connection = Connections[Cancel->Attempt])
        Connection->close();
    } else if (auto *Grant = std::get_if<GrantAttempts>(&Action)) {
      if (auto Connection = Connections[Grant->Attempt])
        Connection->sendMessage(Context.Codec.EncodeGrant(Call));
    } else if (std::holds_alternative<ClaimAttempts>(Action)) {
      if (OnClaim)
        OnClaim();
    } else if (auto *Answer = std::get_if<RespondToCaller>(&Action)) {
      if (OnDone) {
        Completion Done = std::move(OnDone);
        OnDone = nullptr;
        Done(Answer->Result);
        dropBodies();
      }
    }
  }
}

void RelaySession::send(const SendRelayAttempt &Action) {
  HttpExchange Exchange;
  Exchange.Bytes = Context.Codec.Encode(
      Call,
      AttemptToEncode{*Action.Server, Action.TimeLeft,
                      Request.mayRepeat(Action.Attempt), Request.passedBack(),
                      Request.holdsBack(Action.Attempt), Request.runsOnce(),
                      Request.sharedAttempts()});
  Exchange.HeadRequest = Call.Method == "HEAD";
  Exchange.Deadline = LoopTimers::now() + Action.TimeLeft + AttemptGracePeriod;
  Exchange.EchoHeader = Context.EchoHeader;
  Exchange.EchoValue = Call.RequestId;
  Exchange.UsualBytes = Request.plan().Stats->usualBytes();
  const std::size_t Attempt = Action.Attempt;
  Connections.resize(std::max(Connections.size(), Attempt + 1));
  if (Action.Cause != AttemptCause::First)
    logAdditionalAttempt(Action, LoopTimers::now());
  auto Self = shared_from_this();
  if (Context.Codec.Acknowledged)
    Exchange.OnInformational = [Weak = weak_from_this(),
                                Attempt](const HttpResponseHead &Head) {
      if (auto Session = Weak.lock())
        Session->onInformational(Attempt, Head);
    };
  if (Context.Codec.OnHead)
    Exchange.OnHead = [&Codec = Context.Codec,
                       Server = Action.Server](const HttpResponseHead &Head) {
      Codec.OnHead(Server, Head);
    };
  Connections[Attempt] =
      Context.Backends.send(Action.Server, std::move(Exchange),
                            [Self, Attempt](const HttpExchangeResult &End) {
                              Self->onAttemptEnd(Attempt, End);
                            });
}

void RelaySession::onAttemptEnd(std::size_t Attempt,
                                const HttpExchangeResult &ExchangeEnd) {
  Connections[Attempt] = nullptr;
  const TimePoint Now = LoopTimers::now();
  const AttemptEnd End =
      Context.Codec.Decode(Request.serverOf(Attempt), Call, ExchangeEnd);
  Context.Metrics.attemptEnded(Request.serviceOf(Attempt),
                               Request.causeOf(Attempt), End.Result,
                               Now - Request.sentAt(Attempt));
  logAttemptFailure(Attempt, End, Now);
  if (End.Result == AttemptResult::Answered && Context.Codec.OnAnswered)
    Context.Codec.OnAnswered(Call);
  else if (End.Result == AttemptResult::Lost && Context.Codec.OnLost)
    Context.Codec.OnLost(Request.serverOf(Attempt), Call);
  RelayActions Actions;
  Request.onAttemptEnd(Attempt, End, Now, Actions);
  perform(std::move(Actions));
  updateHold();
  updateTimer();
  Request.poolOf(Attempt)->grantPermits(Now);
}

void RelaySession::logAdditionalAttempt(const SendRelayAttempt &Action,
                                        TimePoint Now) const {
  const PoolServer &S = *Action.Server;
  const RelayPlan &Plan = Request.plan();
  logEvent(
      LogLevel::Info, "attempt_added",
      {{"request", Call.RequestId},
       {"service", S.Info.Service},
       {"server", S.Info.Id},
       {"cause", nameOf(AttemptCauseNames, Action.Cause)},
       {"ms", absl::ToInt64Milliseconds(Now - Plan.ArrivalTime)},
       {"expected_ms", absl::ToDoubleMilliseconds(Plan.Stats->expected())},
       {"slowness", BackendPool::slowness(S, Now)},
       {"in_flight", S.inFlight()},
       {"report_age_ms", S.ReportedAt == absl::InfinitePast()
                             ? -1
                             : absl::ToInt64Milliseconds(Now - S.ReportedAt)}});
}

void RelaySession::logAttemptFailure(std::size_t Attempt, const AttemptEnd &End,
                                     TimePoint Now) const {
  const unsigned Status = End.Response != nullptr ? End.Response->Status : 0;
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
            {"defect", nameOf(ResponseDefectNames, End.Defect)},
            {"fingerprint", requestFingerprint(Call)},
            {"ms", absl::ToInt64Milliseconds(Now - Request.sentAt(Attempt))}});
}

void RelaySession::updateTimer() {
  const TimePoint Due = Request.nextTimer();
  if (Due == TimerAt && Timer != nullptr)
    return;
  TimerAt = Due;
  Timer.reset();
  if (Due == absl::InfiniteFuture())
    return;
  std::weak_ptr<RelaySession> Weak = shared_from_this();
  auto Fire = [Weak](TimePoint Now) {
    auto Self = Weak.lock();
    if (Self == nullptr)
      return;
    Self->Timer.reset();
    RelayActions Actions;
    Self->Request.onTimer(Now, Actions);
    Self->perform(std::move(Actions));
    Self->updateTimer();
  };
  if (!Context.Codec.Acknowledged) {
    Timer = Context.Timers.at(Due, Fire);
    return;
  }
  // A loop that was occupied may have an acknowledgement to read: a home that
  // has sent it in time must not be left.
  Timer = Context.Timers.at(Due, [Weak, Fire](TimePoint) {
    if (auto Self = Weak.lock())
      Self->Context.Timers.afterReceived(Fire);
  });
}

} // namespace quetzallead
