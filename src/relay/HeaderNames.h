#ifndef QUETZALLEAD_RELAY_HEADERNAMES_H
#define QUETZALLEAD_RELAY_HEADERNAMES_H

#include <string>

namespace quetzallead {

/// Names of the headers that a deployment uses between callers, this tier and
/// backend servers. Members are named after the content of the headers.
struct HeaderNames {
  /// Identifies one attempt of a caller; backend servers echo it.
  std::string RequestId;
  /// Time in milliseconds that the sender still waits for a response.
  std::string RemainingTime;
  /// Incarnation of the only backend server that may run the request.
  std::string TargetIncarnation;
  /// Present if the backend server has not run the request and never will.
  std::string NotExecuted;
  /// Proves that a response was produced by the backend server.
  std::string Stamp;
  /// Stamps of the parts of a survey's response, separated by commas.
  std::string PartStamps;
  /// Number of shards missing from a survey's response.
  std::string MissingParts;
  /// "1" in the responses of a backend server that is leaving.
  std::string Leaving;
  /// Requests per second that a backend server takes from all instances
  /// together.
  std::string Limit;
  /// Load of a backend server as "running,waiting,slots".
  std::string Load;
  /// Key of the caller's account, in requests of callers only.
  std::string AccountKey;
  /// Name of the caller's account, in requests to backend servers.
  std::string Account;
  /// Milliseconds for which a backend server stays cold.
  std::string WarmUpLeft;
};

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_HEADERNAMES_H
