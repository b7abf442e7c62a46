#include "cli/AskCommands.h"
#include "absl/strings/str_cat.h"
#include "cli/RemoteCall.h"
#include "cli/Session.h"
#include "core/base/JsonReader.h"
#include <nlohmann/json.hpp>
#include <optional>

namespace quetzallead {

using nlohmann::json;

static constexpr int StatusOk = 200;
static constexpr int StatusCreated = 201;
static constexpr std::size_t MaxAnswerBytes = std::size_t{64} << 20;

namespace {

/// What a session call handed out.
struct CallerSession {
  std::string Token;
  std::string Ticket;
};

} // namespace

static HttpCall callerCall(const Session &S, std::string Target,
                           const json &Body) {
  HttpCall Call;
  Call.Method = "POST";
  Call.Address = S.Line.Caller;
  Call.Target = std::move(Target);
  Call.Timeout = S.Line.Timeout;
  Call.MaxResponseBytes = MaxAnswerBytes;
  Call.Headers.add("Content-Type", "application/json");
  Call.Body = Body.dump(-1, ' ', false, json::error_handler_t::replace);
  return Call;
}

/// Opens a session; complains and sets \p Code if none was given.
static std::optional<CallerSession> openSession(Session &S, ExitCode &Code) {
  HttpOutcome Http = callAndWait(
      S.Client, callerCall(S, "/v1/sessions", {{"caller", "quetzallead"}}));
  if (Http.Failure != TransferFailure::None ||
      Http.Response.Status != StatusCreated) {
    Code = complainOf(S, S.Line.Caller, Http);
    return std::nullopt;
  }
  CallerSession Opened;
  if (const auto *Token = Http.Response.Headers.find("Quetzallead-Session"))
    Opened.Token = *Token;
  json Body = json::parse(Http.Response.Body, nullptr, false);
  if (Body.is_object() && Body.contains("ticket") && Body["ticket"].is_string())
    Opened.Ticket = Body["ticket"].get<std::string>();
  return Opened;
}

static std::string runStateOf(const HttpOutcome &Http) {
  json Body = json::parse(Http.Response.Body, nullptr, false);
  if (!Body.is_object() || !Body.contains("run_state") ||
      !Body["run_state"].is_string())
    return std::string();
  return Body["run_state"].get<std::string>();
}

static ExitCode printOutcome(Session &S, const HttpOutcome &Http) {
  if (Http.Failure == TransferFailure::None &&
      Http.Response.Status == StatusOk) {
    printAnswer(S, Http.Response.Body);
    return ExitCode::Ok;
  }
  ExitCode Code = complainOf(S, S.Line.Caller, Http);
  bool Lost = Http.Failure != TransferFailure::None && !wasNotSent(Http);
  if (Lost || runStateOf(Http) == "unknown")
    return ExitCode::Unknown;
  return Code;
}

static ExitCode ask(Session &S, const std::string &Kind, const json &Body) {
  if (!isPlainName(S.Arguments[0]))
    return complain(S, ExitCode::Usage, "SERVICE: is not a name");
  ExitCode Code = ExitCode::Ok;
  std::optional<CallerSession> Opened = openSession(S, Code);
  if (!Opened)
    return Code;
  HttpCall Call = callerCall(
      S, absl::StrCat("/v1/services/", S.Arguments[0], "/", Kind), Body);
  if (!Opened->Token.empty())
    Call.Headers.add("Quetzallead-Session", Opened->Token);
  if (Kind == "command")
    Call.Headers.add("Idempotency-Key", Opened->Ticket);
  return printOutcome(S, callAndWait(S.Client, std::move(Call)));
}

/// Puts the JSON in argument \p Index, if there is one, under \p Key; false
/// after a complaint if it is malformed.
static bool addJson(Session &S, std::size_t Index, const char *Key,
                    json &Body) {
  if (S.Arguments.size() <= Index)
    return true;
  json Value = json::parse(S.Arguments[Index], nullptr, false);
  if (Value.is_discarded()) {
    complain(S, ExitCode::Usage, absl::StrCat(Key, ": is not JSON"));
    return false;
  }
  Body[Key] = std::move(Value);
  return true;
}

ExitCode askSurvey(Session &S) {
  json Body = json::object();
  if (!addJson(S, 1, "query", Body))
    return ExitCode::Usage;
  if (!S.Line.Merge.empty())
    Body["merge"] = S.Line.Merge;
  if (!S.Line.OrderBy.empty())
    Body["order_by"] = S.Line.OrderBy;
  if (S.Line.Limit)
    Body["limit"] = *S.Line.Limit;
  if (!S.Line.Shards.empty())
    Body["shards"] = S.Line.Shards;
  return ask(S, "survey", Body);
}

ExitCode askLookup(Session &S) {
  json Body;
  Body["key"] = S.Arguments[1];
  if (!addJson(S, 2, "query", Body))
    return ExitCode::Usage;
  return ask(S, "lookup", Body);
}

ExitCode askCommand(Session &S) {
  json Body;
  Body["key"] = S.Arguments[1];
  if (!addJson(S, 2, "command", Body))
    return ExitCode::Usage;
  return ask(S, "command", Body);
}

} // namespace quetzallead
