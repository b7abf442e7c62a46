#ifndef QUETZALLEAD_DAEMON_TRACEFILE_H
#define QUETZALLEAD_DAEMON_TRACEFILE_H

#include "absl/base/thread_annotations.h"
#include "quetzallead/PosixMutex.h"
#include <atomic>
#include <cstdint>
#include <fstream>
#include <string>

namespace quetzallead {

/// Writes recorded surveys to a file, one line each. Thread-safe.
class TraceFile {
public:
  /// Records every \p Every th survey; nothing if \p Path is empty.
  TraceFile(const std::string &Path, std::uint64_t Every);

  /// True if the survey that starts now is to be recorded.
  bool takesNext();
  void write(const std::string &Line);

private:
  const bool Enabled;
  const std::uint64_t Every;
  std::atomic<std::uint64_t> Counter{0};
  PosixMutex Mutex;
  std::ofstream Out ABSL_GUARDED_BY(Mutex);
};

} // namespace quetzallead

#endif // QUETZALLEAD_DAEMON_TRACEFILE_H
