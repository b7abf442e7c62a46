#ifndef QUETZALLEAD_CORE_RELAY_PARTREPLY_H
#define QUETZALLEAD_CORE_RELAY_PARTREPLY_H

#include "quetzallead/AttemptResult.h"
#include "quetzallead/LoadReport.h"
#include "quetzallead/Time.h"
#include <memory>
#include <optional>
#include <string>

namespace quetzallead {

/// A whole answer of a backend server, as it goes to the caller.
struct BackendAnswer {
  unsigned Status = 0;
  std::string Reason;
  /// End-to-end headers, each "Name: value\r\n".
  std::string Headers;
  std::string Body;
  /// Length that a HEAD request was told; nothing if it had none.
  std::optional<std::uint64_t> StatedLength;
  /// What identifies the answer to the caller; empty if it has none.
  std::string Stamp;
};

/// How one attempt of a request ended.
struct AttemptEnd {
  /// Answered for any answer of a server that may have run the request,
  /// whatever its status.
  AttemptResult Result = AttemptResult::Unused;
  std::optional<LoadReport> Load;
  /// Set for Answered.
  std::shared_ptr<BackendAnswer> Answer;
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_PARTREPLY_H
