#ifndef QUETZALLEAD_RELAY_ACCOUNTGATE_H
#define QUETZALLEAD_RELAY_ACCOUNTGATE_H

#include "core/relay/AccountLimits.h"
#include "relay/ForwardedRequest.h"
#include "relay/RejectReason.h"
#include <optional>

namespace quetzallead {

class RelayMetrics;
class RelayRequest;
class RouteTable;
struct HeaderNames;
struct Route;

/// Why a request is not served for its account.
struct AccountRefusal {
  RejectReason Reason = RejectReason::UnknownKey;
  Duration RetryAfter = absl::ZeroDuration();
};

/// Finds the client account of each request that this instance serves and
/// counts the request against the limit of the account.
class AccountGate {
public:
  /// The arguments must outlive this object.
  AccountGate(AccountLimits &Limits, RelayMetrics &Metrics,
              const HeaderNames &Headers);

  /// Sets the account of \p Call by its key and takes the headers out that must
  /// not reach a backend server. Returns the account, or null if the sheet has
  /// none or a public route needs none; a refusal if the key is unknown.
  std::optional<AccountRefusal> identify(ForwardedRequest &Call,
                                         const RouteTable &Table,
                                         const Route &Matched) const;
  /// The account of \p Call, which has not been identified; null if unknown.
  const ClientAccount *accountOf(const ForwardedRequest &Call,
                                 const RouteTable &Table) const;
  /// Counts \p Call against the limit of its account. \p Repeated tells that
  /// another home may have run the request, and has counted it.
  std::optional<AccountRefusal> admit(ForwardedRequest &Call, bool Repeated,
                                      TimePoint Now);
  /// Handles the end of an admitted request; one that was not run does not
  /// count.
  void onEnd(const ForwardedRequest &Call, const RelayRequest &Request,
             TimePoint Now);

private:
  AccountLimits &Limits;
  RelayMetrics &Metrics;
  const HeaderNames &Headers;
};

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_ACCOUNTGATE_H
