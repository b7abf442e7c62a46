#include "relay/CrashExchange.h"
#include "absl/strings/str_cat.h"
#include "relay/BackendClient.h"
#include "relay/CrashMessages.h"
#include "relay/LinkMessages.h"
#include "relay/LoopTimers.h"
#include "runtime/Logger.h"

namespace quetzallead {

/// Time that another instance has to answer.
static constexpr Duration ExchangeTimeout = absl::Milliseconds(500);

CrashExchange::CrashExchange(BackendClient &GivenBackends,
                             CrashSuspects &GivenSuspects,
                             const HeaderNames &GivenHeaders)
    : Backends(GivenBackends), Suspects(GivenSuspects), Headers(GivenHeaders) {}

void CrashExchange::push(const std::vector<ServerRef> &Homes,
                         const std::string &Secret) {
  for (const ServerRef &Home : Homes)
    exchangeWith(Home, Secret);
}

void CrashExchange::exchangeWith(const ServerRef &Home,
                                 const std::string &Secret) {
  if (Secret.empty())
    return;
  if (!Pending.insert(Home).second) {
    Outdated.insert(Home);
    return;
  }
  ForwardedRequest Call;
  Call.Method = "POST";
  Call.Target = LinkCrashesTarget;
  Call.Host = Home->Info.Address;
  Call.RequestId = absl::StrCat("crashes-", ++Exchanges);
  Call.Headers = absl::StrCat(Headers.RequestId, ": ", Call.RequestId, "\r\n");
  Call.HasBody = true;
  Call.Body =
      encodeCrashReports(Suspects.reports(MaxCrashReports, LoopTimers::now()));
  LinkRequestInfo Info;
  Info.ExchangesCrashes = true;
  HttpExchange Exchange;
  Exchange.Bytes =
      encodeLinkRequest(Call, Headers, Info, ExchangeTimeout, Secret);
  Exchange.Deadline = LoopTimers::now() + ExchangeTimeout;
  Backends.send(
      Home, std::move(Exchange),
      [this, Home, Id = Call.RequestId, Secret](const HttpExchangeResult &End) {
        onExchanged(Home, Id, Secret, End);
      });
}

void CrashExchange::onExchanged(const ServerRef &Home,
                                const std::string &RequestId,
                                const std::string &Secret,
                                const HttpExchangeResult &End) {
  Pending.erase(Home);
  if (End.Result == AttemptResult::Answered) {
    const auto Info = decodeLinkResponse(*End.Response, RequestId, Secret);
    // An instance of an older version rejects the request.
    if (Info && !Info->TryElsewhere &&
        End.Response->result() == boost::beast::http::status::ok)
      merge(End.Response->body());
  }
  if (Outdated.erase(Home) != 0 && Home->AcceptsAttempts)
    exchangeWith(Home, Secret);
}

void CrashExchange::merge(absl::string_view Message) {
  const auto Reports = decodeCrashReports(Message);
  if (!Reports) {
    logEvent(LogLevel::Warning, "crash_reports_unreadable",
             {{"bytes", Message.size()}});
    return;
  }
  if (Suspects.merge(*Reports, LoopTimers::now()) && OnChanged)
    OnChanged();
}

std::string CrashExchange::answer(absl::string_view Message) {
  merge(Message);
  return encodeCrashReports(
      Suspects.reports(MaxCrashReports, LoopTimers::now()));
}

} // namespace quetzallead
