#ifndef QUETZALLEAD_TESTS_SUPPORT_CHILDPROCESS_H
#define QUETZALLEAD_TESTS_SUPPORT_CHILDPROCESS_H

#include "absl/base/thread_annotations.h"
#include "absl/strings/string_view.h"
#include "quetzallead/PosixMutex.h"
#include "quetzallead/Time.h"
#include <condition_variable>
#include <memory>
#include <optional>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace quetzallead {

/// A program that a test started. It is killed and reaped when destroyed.
class ChildProcess {
public:
  /// Starts \p Program, a path, with \p Arguments; null if that fails.
  static std::unique_ptr<ChildProcess>
  start(const std::string &Program, std::vector<std::string> Arguments);
  ~ChildProcess();

  pid_t pid() const { return Pid; }
  /// What it wrote so far to standard output and standard error.
  std::string output() const;
  /// Waits until the output contains \p Text; false if it ended or \p Limit
  /// passed before.
  bool waitForOutput(absl::string_view Text, Duration Limit);

  /// Sends SIGTERM.
  void terminate();
  /// Sends SIGKILL.
  void kill();
  /// Send SIGSTOP, and wait until it has stopped, and SIGCONT.
  void pause();
  void resume();
  /// Waits for its end. The exit code, 128 plus the signal that ended it, or
  /// nothing if \p Limit passed.
  std::optional<int> wait(Duration Limit);
  bool running() { return !wait(absl::ZeroDuration()); }

private:
  ChildProcess(pid_t Started, int OutputEnd);
  void readOutput();

  const pid_t Pid;
  const int OutputFd;
  std::optional<int> ExitCode;
  mutable PosixMutex Lock;
  std::string Captured ABSL_GUARDED_BY(Lock);
  bool OutputClosed ABSL_GUARDED_BY(Lock) = false;
  std::condition_variable OutputGrew;
  std::thread Reader;
};

} // namespace quetzallead

#endif // QUETZALLEAD_TESTS_SUPPORT_CHILDPROCESS_H
