#include "load/TierCaller.h"
#include "absl/strings/str_cat.h"
#include "load/Arrival.h"
#include "load/CountDown.h"
#include "load/LoadPlan.h"
#include "load/LoadRecord.h"
#include "runtime/TimerService.h"
#include "transport/http/HttpClient.h"
#include <algorithm>
#include <atomic>
#include <nlohmann/json.hpp>

namespace quetzallead {

namespace {

constexpr const char *SessionHeader = "Quetzallead-Session";
constexpr const char *TicketHeader = "Quetzallead-Ticket";
constexpr int TicketRequired = 428;
/// Time beyond the request's own in which the tier's answer may still come.
constexpr Duration AnswerGrace = absl::Seconds(1);
constexpr Duration SessionTimeout = absl::Seconds(5);

/// RFC 9218 urgency of each priority.
const char *urgencyField(Priority Urgency) {
  switch (Urgency) {
  case Priority::Urgent:
    return "u=1";
  case Priority::Ordinary:
    return "u=3";
  case Priority::Background:
    return "u=6";
  }
  return "u=3";
}

std::string valueOrEmpty(const HttpFields &Fields, const char *Name) {
  const std::string *Value = Fields.find(Name);
  return Value ? *Value : std::string();
}

/// An identity by which the backend servers' journals show a command again.
std::string commandMark(const LoadPlan &Plan, const Arrival &Next) {
  return absl::StrCat(Plan.Seed, "-", Next.Sequence);
}

std::string requestBody(const LoadPlan &Plan, const LoadStream &Stream,
                        const Arrival &Next, const std::string &Key) {
  nlohmann::json Body;
  Body["timeout_ms"] = absl::ToInt64Milliseconds(Stream.Timeout);
  if (Stream.Kind == RequestKind::Survey) {
    Body["merge"] = Stream.Merge;
    return Body.dump();
  }
  Body["key"] = Key;
  if (Stream.Kind == RequestKind::Command)
    Body["command"] = {{"mark", commandMark(Plan, Next)}};
  return Body.dump();
}

} // namespace

/// A request on its way, kept alive by the callbacks that wait for it.
struct TierCaller::Exchange {
  const LoadStream *Stream = nullptr;
  TimePoint Intended;
  std::size_t SessionIndex = 0;
  CallerSession Session;
  AnswerExpectation Expected;
  LoadRecord Record;
  RecordSink Sink;
  std::string Body;
  bool TicketAsked = false;
};

std::unique_ptr<TierCaller> TierCaller::make(const LoadPlan &Plan,
                                             std::vector<std::string> Targets,
                                             HttpClient &Client,
                                             const TimerService &Timer) {
  if (Targets.empty())
    return nullptr;
  return std::unique_ptr<TierCaller>(
      new TierCaller(Plan, std::move(Targets), Client, Timer));
}

TierCaller::TierCaller(const LoadPlan &LoadToSend,
                       std::vector<std::string> Addresses, HttpClient &Http,
                       const TimerService &Clock)
    : Plan(LoadToSend), Targets(std::move(Addresses)), Client(Http),
      Timer(Clock), Sessions(LoadToSend.Sessions) {}

std::size_t TierCaller::openSessions() {
  CountDown Waiting(static_cast<int>(Sessions.size()));
  std::atomic<std::size_t> Opened{0};
  for (std::size_t I = 0; I < Sessions.size(); ++I) {
    HttpCall Call;
    Call.Method = "POST";
    Call.Address = Targets[I % Targets.size()];
    Call.Target = "/v1/sessions";
    Call.Headers.add("Content-Type", "application/json");
    Call.Body = nlohmann::json{{"caller", absl::StrCat("load-", I)}}.dump();
    Call.Timeout = SessionTimeout;
    Client.start(std::move(Call), [this, I, &Waiting,
                                   &Opened](const HttpOutcome &Outcome) {
      const bool Whole = Outcome.Failure == TransferFailure::None;
      if (Whole && Outcome.Response.Status == 201) {
        CallerSession Session;
        Session.Token = valueOrEmpty(Outcome.Response.Headers, SessionHeader);
        Session.Ticket = valueOrEmpty(Outcome.Response.Headers, TicketHeader);
        Sessions.update(I, std::move(Session));
        ++Opened;
      }
      Waiting.decrement();
    });
  }
  Waiting.wait();
  return Opened;
}

void TierCaller::send(const Arrival &Next, TimePoint Intended,
                      RecordSink Sink) {
  const LoadStream &Stream = Plan.Streams[Next.Stream];
  auto Request = std::make_shared<Exchange>();
  Request->Stream = &Stream;
  Request->Intended = Intended;
  // Different parts of the draw choose session, target and key.
  Request->SessionIndex = Next.Draw % Sessions.size();
  const std::uint64_t Rest = Next.Draw / Sessions.size();
  const std::string &Target = Targets[Rest % Targets.size()];
  std::string Key;
  if (!Stream.Keys.empty())
    Key = Stream.Keys[(Rest / Targets.size()) % Stream.Keys.size()];
  const bool Command = Stream.Kind == RequestKind::Command;
  Request->Session = Sessions.take(Request->SessionIndex, Command);
  Request->Expected.Service = Stream.Service;
  Request->Expected.Key = Key;
  Request->Expected.SeenVersion = Request->Session.seenVersion(Stream.Service);
  Request->Record.Sequence = Next.Sequence;
  Request->Record.Offset = Next.Offset;
  Request->Record.Lateness = Timer.now() - Intended;
  Request->Record.Kind = Stream.Kind;
  Request->Record.Service = Stream.Service;
  Request->Record.Urgency = Stream.Urgency;
  Request->Record.Target = Target;
  Request->Sink = std::move(Sink);
  Request->Body = requestBody(Plan, Stream, Next, Key);
  start(Request);
}

void TierCaller::start(const std::shared_ptr<Exchange> &Request) {
  const LoadStream &Stream = *Request->Stream;
  HttpCall Call;
  Call.Method = "POST";
  Call.Address = Request->Record.Target;
  Call.Target = absl::StrCat("/v1/services/", Stream.Service, "/",
                             nameOf(RequestKindNames, Stream.Kind));
  Call.Headers.add("Content-Type", "application/json");
  Call.Headers.add("Priority", urgencyField(Stream.Urgency));
  if (!Request->Session.Token.empty())
    Call.Headers.add(SessionHeader, Request->Session.Token);
  if (!Request->Session.Ticket.empty())
    Call.Headers.add("Idempotency-Key", Request->Session.Ticket);
  Call.Body = Request->Body;
  Call.Timeout = Stream.Timeout + AnswerGrace;
  Client.start(std::move(Call), [this, Request](const HttpOutcome &Outcome) {
    finish(Request, Outcome);
  });
}

void TierCaller::finish(const std::shared_ptr<Exchange> &Request,
                        const HttpOutcome &Outcome) {
  Request->Record.Latency = Timer.now() - Request->Intended;
  if (Outcome.Failure != TransferFailure::None) {
    Request->Sink(std::move(Request->Record));
    return;
  }
  const HttpFields &Headers = Outcome.Response.Headers;
  std::string Ticket = valueOrEmpty(Headers, TicketHeader);
  const bool Refused = Outcome.Response.Status == TicketRequired;
  if (Refused && !Ticket.empty() && !Request->TicketAsked) {
    Request->TicketAsked = true;
    Request->Session.Ticket = std::move(Ticket);
    start(Request);
    return;
  }
  Checker.check(Request->Expected, Outcome.Response, Request->Record);
  CallerSession Next = std::move(Request->Session);
  Next.Ticket = std::move(Ticket);
  std::string Token = valueOrEmpty(Headers, SessionHeader);
  if (!Token.empty()) {
    Next.Token = std::move(Token);
    std::uint64_t &Seen = Next.Seen[Request->Stream->Service];
    Seen = std::max(Seen, Request->Record.Version);
    Sessions.update(Request->SessionIndex, std::move(Next));
  }
  Request->Sink(std::move(Request->Record));
}

} // namespace quetzallead
