#include "relay/AccountExchange.h"
#include "absl/strings/str_cat.h"
#include "relay/AccountMessages.h"
#include "relay/BackendClient.h"
#include "relay/LinkMessages.h"
#include "relay/LoopTimers.h"
#include "runtime/Logger.h"
#include <algorithm>

namespace quetzallead {

/// Least time between two requests. An instance that serves all callers of an
/// account gets the whole rate of the others in it.
static constexpr Duration RequestInterval = absl::Milliseconds(100);
/// Time that another instance has to answer.
static constexpr Duration AnswerTimeout = absl::Milliseconds(500);

AccountExchange::AccountExchange(BackendClient &GivenBackends,
                                 AccountLimits &GivenLimits,
                                 const HeaderNames &GivenHeaders)
    : Backends(GivenBackends), Limits(GivenLimits), Headers(GivenHeaders) {}

void AccountExchange::request(const std::vector<ServerRef> &Homes,
                              const std::string &Secret) {
  const TimePoint Now = LoopTimers::now();
  if (Secret.empty() || !Limits.lacksTokens() ||
      Now - RequestedAt < RequestInterval)
    return;
  const auto Reachable = static_cast<double>(
      std::count_if(Homes.begin(), Homes.end(),
                    [](const ServerRef &Home) { return !Home->Unreachable; }));
  AccountTokens Wanted = Limits.wants(Now);
  if (Wanted.empty() || Reachable == 0)
    return;
  RequestedAt = Now;
  for (auto &[Account, Amount] : Wanted)
    Amount /= Reachable;
  const std::string Body = encodeAccountTokens(Wanted);
  for (const ServerRef &Home : Homes)
    if (!Home->Unreachable)
      send(Home, Body, Secret);
}

void AccountExchange::send(const ServerRef &Home, const std::string &Body,
                           const std::string &Secret) {
  ForwardedRequest Call;
  Call.Method = "POST";
  Call.Target = LinkAccountsTarget;
  Call.Host = Home->Info.Address;
  Call.RequestId = absl::StrCat("accounts-", ++Requests);
  Call.Headers = absl::StrCat(Headers.RequestId, ": ", Call.RequestId, "\r\n");
  Call.HasBody = true;
  Call.Body = Body;
  LinkRequestInfo Info;
  Info.AsksForTokens = true;
  HttpExchange Exchange;
  Exchange.Bytes =
      encodeLinkRequest(Call, Headers, Info, AnswerTimeout, Secret);
  Exchange.Deadline = LoopTimers::now() + AnswerTimeout;
  Backends.send(
      Home, std::move(Exchange),
      [this, Id = Call.RequestId, Secret](const HttpExchangeResult &End) {
        onAnswer(Id, Secret, End);
      });
}

void AccountExchange::onAnswer(const std::string &RequestId,
                               const std::string &Secret,
                               const HttpExchangeResult &End) {
  if (End.Result != AttemptResult::Answered)
    return;
  const auto Info = decodeLinkResponse(*End.Response, RequestId, Secret);
  // An instance of an older version rejects the request.
  if (!Info || Info->TryElsewhere ||
      End.Response->result() != boost::beast::http::status::ok)
    return;
  if (const auto Given = decodeAccountTokens(End.Response->body()))
    Limits.credit(*Given, LoopTimers::now());
}

std::string AccountExchange::answer(absl::string_view Message) {
  const auto Wanted = decodeAccountTokens(Message);
  if (!Wanted) {
    logEvent(LogLevel::Warning, "account_request_unreadable",
             {{"bytes", Message.size()}});
    return encodeAccountTokens({});
  }
  return encodeAccountTokens(Limits.give(*Wanted, LoopTimers::now()));
}

} // namespace quetzallead
