#ifndef QUETZALLEAD_RELAY_ACCOUNTEXCHANGE_H
#define QUETZALLEAD_RELAY_ACCOUNTEXCHANGE_H

#include "absl/strings/string_view.h"
#include "core/relay/AccountLimits.h"
#include "core/relay/BackendPool.h"
#include "relay/HttpExchange.h"
#include <cstdint>
#include <string>
#include <vector>

namespace quetzallead {

class BackendClient;
struct HeaderNames;

/// Asks the other homes for tokens of accounts whose callers are served by this
/// instance more than by them, and answers such requests.
class AccountExchange {
public:
  /// The arguments must outlive this object.
  AccountExchange(BackendClient &Backends, AccountLimits &Limits,
                  const HeaderNames &Headers);

  /// Asks \p Homes for what is lacking, if anything is and the last request is
  /// long enough ago. Signed with \p Secret.
  void request(const std::vector<ServerRef> &Homes, const std::string &Secret);
  /// Returns the encoded answer to the request of another instance.
  std::string answer(absl::string_view Message);

private:
  void send(const ServerRef &Home, const std::string &Body,
            const std::string &Secret);
  void onAnswer(const std::string &RequestId, const std::string &Secret,
                const HttpExchangeResult &End);

  BackendClient &Backends;
  AccountLimits &Limits;
  const HeaderNames &Headers;
  std::uint64_t Requests = 0;
  TimePoint RequestedAt = absl::InfinitePast();
};

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_ACCOUNTEXCHANGE_H
