#include "cli/OperatorCommands.h"
#include "absl/strings/str_cat.h"
#include "cli/RemoteCall.h"
#include "cli/Session.h"
#include "core/base/JsonReader.h"
#include <nlohmann/json.hpp>
#include <optional>
#include <ostream>

namespace quetzallead {

static constexpr int FirstFailure = 300;

/// The body of a successful answer; complains and sets \p Code otherwise.
static std::optional<std::string> request(Session &S, const char *Method,
                                          const std::string &Target,
                                          ExitCode &Code) {
  auto Call = capture([&] { return adminCall(S, Method, Target); });
  if (const auto *Failure = std::get_if<Error>(&Call)) {
    Code = complain(S, ExitCode::Usage, Failure->text());
    return std::nullopt;
  }
  HttpOutcome Http = callAndWait(S.Client, std::get<HttpCall>(Call));
  if (Http.Failure != TransferFailure::None ||
      Http.Response.Status >= FirstFailure) {
    Code = complainOf(S, S.Line.Admin, Http);
    return std::nullopt;
  }
  return Http.Response.Body;
}

static ExitCode show(Session &S, const char *Method,
                     const std::string &Target) {
  ExitCode Code = ExitCode::Ok;
  std::optional<std::string> Body = request(S, Method, Target, Code);
  if (Body)
    printAnswer(S, *Body);
  return Code;
}

ExitCode showStatus(Session &S) { return show(S, "GET", "/v1/status"); }
ExitCode showInstances(Session &S) { return show(S, "GET", "/v1/instances"); }
ExitCode showServices(Session &S) { return show(S, "GET", "/v1/services"); }
ExitCode showServers(Session &S) { return show(S, "GET", "/v1/servers"); }
ExitCode showAudit(Session &S) { return show(S, "GET", "/v1/audit"); }
ExitCode showSheetStatus(Session &S) {
  return show(S, "GET", "/v1/sheet/status");
}
ExitCode drainInstance(Session &S) { return show(S, "POST", "/v1/drain"); }

ExitCode showSheet(Session &S) {
  ExitCode Code = ExitCode::Ok;
  std::optional<std::string> Body = request(S, "GET", "/v1/sheet", Code);
  if (!Body)
    return Code;
  auto Answer = nlohmann::ordered_json::parse(*Body, nullptr, false);
  if (S.Line.Json || !Answer.is_object()) {
    S.Out << *Body << "\n";
    return ExitCode::Ok;
  }
  constexpr int Indent = 2;
  S.Out << Answer.dump(Indent) << "\n";
  return ExitCode::Ok;
}

ExitCode explainRequest(Session &S) {
  constexpr std::size_t MaxIdBytes = 128;
  const std::string &Id = S.Arguments[0];
  bool Plain = !Id.empty() && Id.size() <= MaxIdBytes &&
               Id.find_first_of("/?#% \t\r\n") == std::string::npos;
  if (!Plain)
    return complain(S, ExitCode::Usage, "REQUEST-ID: is not an identifier");
  return show(S, "GET", absl::StrCat("/v1/explain/", Id));
}

} // namespace quetzallead
