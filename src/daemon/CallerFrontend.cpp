#include "daemon/CallerFrontend.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "core/base/JsonText.h"
#include "daemon/AnswerCodec.h"
#include "daemon/CallerRequest.h"
#include "daemon/ClusterDirectory.h"
#include "daemon/CommandService.h"
#include "daemon/DrainGate.h"
#include "daemon/JsonResponse.h"
#include "daemon/Problem.h"
#include "daemon/QueryPlanner.h"
#include "daemon/SessionService.h"
#include "runtime/Metrics.h"
#include "runtime/TimerService.h"
#include <nlohmann/json.hpp>

namespace quetzallead {

static constexpr Duration DrainingRetryAfter = absl::Milliseconds(50);
static constexpr Duration FullRetryAfter = absl::Milliseconds(200);
static constexpr Duration NoSheetRetryAfter = absl::Seconds(1);
static constexpr int StatusCreated = 201;

struct CallerFrontend::Exchange {
  HttpRequest Request;
  HttpServer::Responder Respond;
  RequestContext Context;
  std::optional<SessionToken> Session;
  /// Service named in the path, and what is asked of it.
  std::string Service;
  std::string Action;
  std::shared_ptr<const ClusterView> View;
  std::shared_ptr<const ServiceView> Target;
  bool Admitted = false;
  /// Shards wanted and covered; 0 for anything but a query.
  std::size_t Wanted = 0;
  std::size_t Covered = 0;
};

CallerFrontend::CallerFrontend(const Settings &S, ClusterDirectory &Dir,
                               QueryEnvironment Environment,
                               SessionService &SessionParts,
                               CommandService &CommandParts,
                               DrainGate &DrainPart, std::uint64_t RandomId)
    : Options(S), Directory(Dir), Env(std::move(Environment)),
      Sessions(SessionParts), Commands(CommandParts), Gate(DrainPart),
      Ids(RandomId) {}

static Problem badRequest(const Error &E) {
  return Problem{ProblemType::BadRequest, E.text()};
}

static std::string headerOf(const HttpRequest &Request, const char *Name) {
  const std::string *Value = Request.Headers.find(Name);
  return Value == nullptr ? std::string() : *Value;
}

/// What is known of a request that is refused before it is looked at. A ticket
/// may have been spent on an earlier copy of the command, which ran.
static RunState unseenState(const HttpRequest &Request) {
  bool MayBeCopy = Request.Headers.find("Idempotency-Key") != nullptr;
  return MayBeCopy ? RunState::Unknown : RunState::NotRun;
}

void CallerFrontend::handle(HttpRequest Request,
                            HttpServer::Responder Respond) {
  auto E = std::make_shared<Exchange>();
  E->Request = std::move(Request);
  E->Respond = std::move(Respond);
  E->Context.RequestId = Ids.next();
  E->Context.Received = Env.Timers.now();
  E->Context.TraceParent = headerOf(E->Request, "traceparent");
  switch (Gate.enter()) {
  case DrainGate::Entry::Draining:
    return refuse(E, Problem{ProblemType::Draining,
                             "this instance is stopping; ask another one",
                             unseenState(E->Request), DrainingRetryAfter});
  case DrainGate::Entry::Full:
    return refuse(E, Problem{ProblemType::Overloaded,
                             "too many requests are in progress here",
                             unseenState(E->Request), FullRetryAfter});
  case DrainGate::Entry::Admitted:
    break;
  }
  E->Admitted = true;
  route(E);
}

void CallerFrontend::route(const ExchangePtr &E) {
  const HttpRequest &Request = E->Request;
  if (Request.Method != "POST")
    return refuse(E,
                  Problem{ProblemType::NoSuchPath, "only POST is served here"});
  if (!resumeSession(E))
    return;
  if (Request.Path == "/v1/sessions")
    return openSession(E);
  if (Request.Path == "/v1/tickets")
    return issueTicket(E);
  std::vector<std::string> Steps = absl::StrSplit(Request.Path, '/');
  bool Known = Steps.size() == 5 && Steps[0].empty() && Steps[1] == "v1" &&
               Steps[2] == "services";
  if (!Known)
    return refuse(E, Problem{ProblemType::NoSuchPath,
                             absl::StrCat("no such path: ", Request.Path)});
  E->Service = Steps[3];
  E->Action = Steps[4];
  E->View = Directory.view();
  if (E->View->Revision == 0)
    return refuse(E,
                  Problem{ProblemType::NoSheet, "no sheet is in force here yet",
                          unseenState(E->Request), NoSheetRetryAfter});
  E->Target = E->View->service(E->Service);
  if (E->Target == nullptr)
    return refuse(E,
                  Problem{ProblemType::NoSuchService,
                          absl::StrCat("no service is called ", E->Service)});
  const ServiceSpec &Spec = E->Target->Spec;
  E->Context.Urgency = parsePriority(Request.Headers.find("Priority"))
                           .value_or(Spec.DefaultPriority);
  if (E->Action == "survey" && Spec.Rules.Surveys)
    return survey(E);
  if (E->Action == "lookup" && Spec.Rules.Lookups)
    return lookup(E);
  if (E->Action == "command" && Spec.Rules.Commands)
    return command(E);
  refuse(E, Problem{ProblemType::NoSuchPath,
                    absl::StrCat("service ", E->Service,
                                 " does not serve: ", E->Action)});
}

bool CallerFrontend::resumeSession(const ExchangePtr &E) {
  const std::string *Text = E->Request.Headers.find("Quetzallead-Session");
  if (Text == nullptr)
    return true;
  auto Resumed =
      capture([&] { return Sessions.resume(*Text, E->Context.Received); });
  if (auto *Fault = std::get_if<Error>(&Resumed)) {
    refuse(E, Problem{ProblemType::BadSession, Fault->text()});
    return false;
  }
  E->Session = std::get<SessionToken>(std::move(Resumed));
  return true;
}

void CallerFrontend::openSession(const ExchangePtr &E) {
  std::string Caller;
  if (!E->Request.Body.empty()) {
    nlohmann::json Body;
    if (nestsWithin(E->Request.Body, 1))
      Body = nlohmann::json::parse(E->Request.Body, nullptr, false);
    bool Named = Body.is_object() && Body.contains("caller") &&
                 Body["caller"].is_string();
    if (!Body.is_object() || (!Body.empty() && !Named))
      return refuse(E, Problem{ProblemType::BadRequest,
                               "the body may hold only the text \"caller\""});
    if (Named)
      Caller = Body["caller"].get<std::string>();
  }
  auto Opened =
      capture([&] { return Sessions.open(Caller, E->Context.Received); });
  if (auto *Fault = std::get_if<Error>(&Opened))
    return refuse(E, badRequest(*Fault));
  E->Session = std::get<SessionToken>(std::move(Opened));
  std::string Ticket = Commands.issueTicket(E->Context.Received);
  nlohmann::ordered_json Body;
  Body["session_id"] = E->Session->SessionId;
  Body["expires_at"] = absl::FormatTime(absl::RFC3339_sec, E->Session->Expires,
                                        absl::UTCTimeZone());
  Body["ticket"] = Ticket;
  HttpResponse Response = jsonResponse(Body, StatusCreated);
  Response.Headers.add("Quetzallead-Ticket", Ticket);
  finish(E, std::move(Response), 0);
}

void CallerFrontend::issueTicket(const ExchangePtr &E) {
  std::string Ticket = Commands.issueTicket(E->Context.Received);
  nlohmann::ordered_json Body{{"ticket", Ticket}};
  HttpResponse Response = jsonResponse(Body, StatusCreated);
  Response.Headers.add("Quetzallead-Ticket", Ticket);
  finish(E, std::move(Response), 0);
}

void CallerFrontend::survey(const ExchangePtr &E) {
  auto Parsed = capture([&] { return parseSurveyRequest(E->Request.Body); });
  if (auto *Fault = std::get_if<Error>(&Parsed))
    return refuse(E, badRequest(*Fault));
  std::uint64_t MinVersion =
      E->Session ? E->Session->seenVersion(E->Service) : 0;
  PlannedQuery Planned =
      planSurvey(*E->View, E->Target, std::get<SurveyRequest>(Parsed),
                 E->Context, MinVersion, Options.Policy);
  if (auto *P = std::get_if<Problem>(&Planned))
    return refuse(E, *P);
  runQuery(E, std::get<QueryJob>(std::move(Planned)));
}

void CallerFrontend::lookup(const ExchangePtr &E) {
  auto Parsed = capture([&] { return parseLookupRequest(E->Request.Body); });
  if (auto *Fault = std::get_if<Error>(&Parsed))
    return refuse(E, badRequest(*Fault));
  std::uint64_t MinVersion =
      E->Session ? E->Session->seenVersion(E->Service) : 0;
  PlannedQuery Planned =
      planLookup(*E->View, E->Target, std::get<LookupRequest>(Parsed),
                 E->Context, MinVersion, Options.Policy);
  if (auto *P = std::get_if<Problem>(&Planned))
    return refuse(E, *P);
  runQuery(E, std::get<QueryJob>(std::move(Planned)));
}

void CallerFrontend::runQuery(const ExchangePtr &E, QueryJob Job) {
  MergeKind Kind = Job.Plan.Kind;
  QuerySession::start(Env, std::move(Job), [=](const QueryOutcome &Outcome) {
    HttpResponse Response =
        answerResponse(E->Context.RequestId, E->Service, Kind, Outcome);
    E->Wanted = Outcome.Result.Wanted;
    E->Covered = Outcome.Result.Covered;
    std::uint64_t Version =
        Outcome.Result.Covered > 0 ? Outcome.Result.Taken.Version : 0;
    finish(E, std::move(Response), Version);
  });
}

void CallerFrontend::command(const ExchangePtr &E) {
  auto Parsed = capture([&] { return parseCommandRequest(E->Request.Body); });
  if (auto *Fault = std::get_if<Error>(&Parsed))
    return refuse(E, badRequest(*Fault));
  CommandJob Job;
  Job.Context = E->Context;
  Job.Service = E->Service;
  Job.Ticket = headerOf(E->Request, "Idempotency-Key");
  Job.SessionId = E->Session ? E->Session->SessionId : std::string();
  Job.Request = std::get<CommandRequest>(std::move(Parsed));
  Job.Body = E->Request.Body;
  Commands.run(std::move(Job), [=](HttpResponse Response) {
    finish(E, std::move(Response), 0);
  });
}

void CallerFrontend::refuse(const ExchangePtr &E, const Problem &P) {
  finish(E, problemResponse(P, E->Context.RequestId), 0);
}

static RequestOutcome outcomeOfStatus(int Status, bool Complete) {
  if (Status < 300)
    return Complete ? RequestOutcome::Complete : RequestOutcome::Partial;
  if (Status == statusOf(ProblemType::Overloaded) ||
      Status == statusOf(ProblemType::Draining))
    return RequestOutcome::Refused;
  if (Status == statusOf(ProblemType::Deadline))
    return RequestOutcome::Deadline;
  if (Status == statusOf(ProblemType::RunUnknown))
    return RequestOutcome::Unknown;
  return Status < 500 ? RequestOutcome::Invalid : RequestOutcome::Failed;
}

void CallerFrontend::count(const Exchange &E, int Status) {
  RequestSample Sample;
  Sample.Service = E.Service;
  Sample.Urgency = E.Context.Urgency;
  Sample.Outcome = outcomeOfStatus(Status, E.Covered == E.Wanted);
  Sample.Elapsed = Env.Timers.now() - E.Context.Received;
  Sample.WantedShards = static_cast<int>(E.Wanted);
  Sample.CoveredShards = static_cast<int>(E.Covered);
  Env.Meter.requestEnded(Sample);
  if (Status == statusOf(ProblemType::Overloaded))
    Env.Meter.requestShed(E.Service, E.Context.Urgency);
}

void CallerFrontend::finish(const ExchangePtr &E, HttpResponse Response,
                            std::uint64_t Version) {
  if (Response.Headers.find("X-Request-Id") == nullptr)
    Response.Headers.add("X-Request-Id", E->Context.RequestId);
  if (E->Session)
    Response.Headers.add(
        "Quetzallead-Session",
        Sessions.renew(*E->Session, E->Service, Version, Env.Timers.now()));
  count(*E, Response.Status);
  E->Respond(std::move(Response));
  if (E->Admitted)
    Gate.leave();
}

} // namespace quetzallead
