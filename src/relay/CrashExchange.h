#ifndef QUETZALLEAD_RELAY_CRASHEXCHANGE_H
#define QUETZALLEAD_RELAY_CRASHEXCHANGE_H

#include "absl/strings/string_view.h"
#include "core/relay/BackendPool.h"
#include "core/relay/CrashSuspects.h"
#include "relay/HttpExchange.h"
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace quetzallead {

class BackendClient;
struct HeaderNames;

/// Exchanges crash reports with other instances: each sends what it knows and
/// gets what the other one knows. New reports go to all homes at once; a
/// message that is lost is made up for when the digests of two instances
/// differ.
class CrashExchange {
public:
  /// The arguments must outlive this object.
  CrashExchange(BackendClient &Backends, CrashSuspects &Suspects,
                const HeaderNames &Headers);

  /// Called when a report of another instance was new.
  std::function<void()> OnChanged;

  /// Exchanges reports with each of \p Homes, signed with \p Secret.
  void push(const std::vector<ServerRef> &Homes, const std::string &Secret);
  void exchangeWith(const ServerRef &Home, const std::string &Secret);
  /// Merges the reports of another instance and returns an encoded answer.
  std::string answer(absl::string_view Message);

private:
  void merge(absl::string_view Message);
  void onExchanged(const ServerRef &Home, const std::string &RequestId,
                   const std::string &Secret, const HttpExchangeResult &End);

  BackendClient &Backends;
  CrashSuspects &Suspects;
  const HeaderNames &Headers;
  std::uint64_t Exchanges = 0;
  /// Homes that have not answered yet.
  std::set<ServerRef> Pending;
  /// Homes among them to which there is more to send.
  std::set<ServerRef> Outdated;
};

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_CRASHEXCHANGE_H
