#ifndef QUETZALLEAD_RELAY_RELAYCALL_H
#define QUETZALLEAD_RELAY_RELAYCALL_H

#include "quetzallead/Time.h"
#include <optional>
#include <string>

namespace quetzallead {

/// A caller's request as it is passed on.
struct RelayCall {
  std::string Method;
  std::string Target;
  std::string Host;
  /// End-to-end headers but for those that the relay sets, each
  /// "Name: value\r\n".
  std::string Headers;
  std::string Body;
  /// False if the request has neither a length nor chunks.
  bool HasBody = false;
  std::string RequestId;
  /// How long the caller waits; nothing if it does not say.
  std::optional<Duration> TimeLeft;
  TimePoint Arrived;
};

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_RELAYCALL_H
