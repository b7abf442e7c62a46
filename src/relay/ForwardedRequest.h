#ifndef QUETZALLEAD_RELAY_FORWARDEDREQUEST_H
#define QUETZALLEAD_RELAY_FORWARDEDREQUEST_H

#include "quetzallead/Time.h"
#include <optional>
#include <string>

namespace quetzallead {

/// The parts of a caller's request that are forwarded to backend servers.
struct ForwardedRequest {
  std::string Method;
  std::string Target;
  std::string Host;
  /// End-to-end headers except those that the relay sets itself, each
  /// "Name: value\r\n".
  std::string Headers;
  std::string Body;
  /// False if the request has neither Content-Length nor Transfer-Encoding.
  bool HasBody = false;
  std::string RequestId;
  /// Key of the caller's account, once it has been taken out of Headers. Must
  /// not be logged or sent to a backend server.
  std::string AccountKey;
  /// Name of that account; empty if there is none.
  std::string Account;
  /// The request counts against the limit of the account.
  bool Counted = false;
  /// requestFingerprint(), if it has been computed.
  std::string Fingerprint;
  /// The caller's timeout; empty if the request does not state one.
  std::optional<Duration> RemainingTime;
  TimePoint ArrivalTime;
  /// Estimated time from the caller's decision to send the request to
  /// ArrivalTime, including the set-up of its connection, and from the response
  /// to the caller.
  Duration TransitTime = absl::ZeroDuration();
};

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_FORWARDEDREQUEST_H
