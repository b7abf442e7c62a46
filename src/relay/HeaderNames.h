#ifndef QUETZALLEAD_RELAY_HEADERNAMES_H
#define QUETZALLEAD_RELAY_HEADERNAMES_H

#include <string>

namespace quetzallead {

/// The headers that a deployment uses between callers, this tier and backend
/// servers, by what they hold.
struct HeaderNames {
  /// Names one attempt of a caller; echoed by backend servers.
  std::string RequestId;
  /// Milliseconds that the sender will wait.
  std::string TimeLeft;
  /// The lifetime of a backend server that alone may run the request.
  std::string ExpectedServer;
  /// Present if the backend server did not run the request, and never will.
  std::string NotRun;
  /// Proof of a backend server that an answer is its own.
  std::string Stamp;
  /// Stamps of the parts of a survey's answer, separated by commas.
  std::string PartStamps;
  /// Number of shards that a survey's answer leaves out.
  std::string MissingParts;
  /// "running,waiting,slots" of a backend server.
  std::string Load;
};

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_HEADERNAMES_H
