#include "cli/Session.h"
#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "cli/TextTable.h"
#include "runtime/FileText.h"
#include "transport/http/HttpClient.h"
#include <nlohmann/json.hpp>
#include <ostream>

namespace quetzallead {

using nlohmann::ordered_json;

static constexpr std::size_t MaxTokenBytes = 4096;
static constexpr std::size_t MaxAnswerBytes = std::size_t{64} << 20;

Result<HttpCall> adminCall(const Session &S, std::string Method,
                           std::string Target) {
  HttpCall Call;
  Call.Method = std::move(Method);
  Call.Address = S.Line.Admin;
  Call.Target = std::move(Target);
  Call.Timeout = S.Line.Timeout;
  Call.MaxResponseBytes = MaxAnswerBytes;
  if (S.Line.TokenFile.empty())
    return Call;
  Result<std::string> Token = readFileText(S.Line.TokenFile, MaxTokenBytes);
  if (!Token)
    return Token.error();
  Call.Headers.add(
      "Authorization",
      absl::StrCat("Bearer ", absl::StripAsciiWhitespace(Token.value())));
  return Call;
}

ExitCode complain(Session &S, ExitCode Code, const std::string &Message) {
  S.Err << "quetzallead: " << Message << "\n";
  return Code;
}

/// "title: detail" of problem details, or the status alone.
static std::string problemText(const HttpResponse &Response) {
  std::string Text = absl::StrCat("status ", Response.Status);
  ordered_json Body = ordered_json::parse(Response.Body, nullptr, false);
  if (!Body.is_object())
    return Text;
  for (const char *Key : {"title", "detail", "outcome", "run_state"})
    if (Body.contains(Key) && Body[Key].is_string())
      absl::StrAppend(&Text, ": ", Body[Key].get<std::string>());
  return Text;
}

ExitCode complainOf(Session &S, const std::string &Address,
                    const HttpOutcome &Http) {
  if (Http.Failure != TransferFailure::None)
    return complain(S, ExitCode::Unreachable,
                    absl::StrCat(Address, ": ",
                                 nameOf(TransferFailureNames, Http.Failure),
                                 Http.Detail.empty() ? "" : ": ", Http.Detail));
  return complain(S, ExitCode::Refused,
                  absl::StrCat(Address, ": ", problemText(Http.Response)));
}

void printAnswer(Session &S, const std::string &Body) {
  ordered_json Answer = ordered_json::parse(Body, nullptr, false);
  if (S.Line.Json || Answer.is_discarded())
    S.Out << Body << "\n";
  else
    S.Out << renderText(Answer);
}

} // namespace quetzallead
