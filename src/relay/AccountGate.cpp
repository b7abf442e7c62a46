#include "relay/AccountGate.h"
#include "core/relay/RelayRequest.h"
#include "core/relay/RouteTable.h"
#include "relay/HeaderNames.h"
#include "relay/RelayMessages.h"
#include "relay/RelayMetrics.h"
#include <algorithm>

namespace quetzallead {

AccountGate::AccountGate(AccountLimits &GivenLimits, RelayMetrics &GivenMetrics,
                         const HeaderNames &GivenHeaders)
    : Limits(GivenLimits), Metrics(GivenMetrics), Headers(GivenHeaders) {}

/// The key that all of \p Keys are; empty if there is none or they differ.
static std::string commonKey(const std::vector<std::string> &Keys) {
  const bool Same = !Keys.empty() && std::all_of(Keys.begin(), Keys.end(),
                                                 [&](const std::string &Key) {
                                                   return Key == Keys[0];
                                                 });
  return Same ? Keys[0] : std::string();
}

std::optional<AccountRefusal>
AccountGate::identify(ForwardedRequest &Call, const RouteTable &Table,
                      const Route &Matched) const {
  if (!Table.hasAccounts())
    return std::nullopt;
  const std::vector<std::string> Keys =
      takeHeader(Call.Headers, Headers.AccountKey);
  takeHeader(Call.Headers, Headers.Account);
  if (!Keys.empty())
    Call.AccountKey = commonKey(Keys);
  const ClientAccount *Account = Table.accounts().find(Call.AccountKey);
  if (Account == nullptr && !Matched.Public)
    return AccountRefusal{RejectReason::UnknownKey, absl::ZeroDuration()};
  Call.Account = Account != nullptr ? Account->Name : std::string();
  return std::nullopt;
}

const ClientAccount *AccountGate::accountOf(const ForwardedRequest &Call,
                                            const RouteTable &Table) const {
  if (!Table.hasAccounts())
    return nullptr;
  if (!Call.AccountKey.empty())
    return Table.accounts().find(Call.AccountKey);
  std::string Fields = Call.Headers;
  return Table.accounts().find(
      commonKey(takeHeader(Fields, Headers.AccountKey)));
}

std::optional<AccountRefusal> AccountGate::admit(ForwardedRequest &Call,
                                                 bool Repeated, TimePoint Now) {
  Call.Counted = false;
  if (Call.Account.empty() || Repeated)
    return std::nullopt;
  const AccountAdmission Admission = Limits.admit(Call.Account, Now);
  Metrics.accountUsed(Call.Account, Admission.Admitted ? AccountUse::Admitted
                                                       : AccountUse::Limited);
  if (!Admission.Admitted)
    return AccountRefusal{RejectReason::AccountLimit, Admission.RetryAfter};
  Call.Counted = true;
  return std::nullopt;
}

void AccountGate::onEnd(const ForwardedRequest &Call,
                        const RelayRequest &Request, TimePoint Now) {
  const bool Served = Request.plan().MatchedRoute->Target != RouteTarget::Home;
  if (!Served || !Call.Counted || Request.begun())
    return;
  Limits.refund(Call.Account, Now);
  Metrics.accountUsed(Call.Account, AccountUse::Refunded);
}

} // namespace quetzallead
