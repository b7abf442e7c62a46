#ifndef QUETZALLEAD_DAEMON_REQUESTIDS_H
#define QUETZALLEAD_DAEMON_REQUESTIDS_H

#include <atomic>
#include <cstdint>
#include <string>

namespace quetzallead {

/// Makes identifiers of requests that differ over all instances and starts.
/// Thread-safe.
class RequestIds {
public:
  /// \p RandomId is drawn anew at every start of the process.
  explicit RequestIds(std::uint64_t RandomId);

  std::string next();

private:
  const std::string Prefix;
  std::atomic<std::uint64_t> Counter{1};
};

} // namespace quetzallead

#endif // QUETZALLEAD_DAEMON_REQUESTIDS_H
