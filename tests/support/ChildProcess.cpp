#include "support/ChildProcess.h"
#include "absl/strings/match.h"
#include "absl/time/clock.h"
#include "support/WaitUntil.h"
#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace quetzallead {

static std::optional<pid_t> spawn(const std::string &Program,
                                  std::vector<std::string> &Arguments,
                                  int OutputFd) {
  std::vector<char *> Argv;
  std::string Name = Program;
  Argv.push_back(Name.data());
  for (std::string &Argument : Arguments)
    Argv.push_back(Argument.data());
  Argv.push_back(nullptr);
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  posix_spawn_file_actions_adddup2(&Actions, OutputFd, STDOUT_FILENO);
  posix_spawn_file_actions_adddup2(&Actions, OutputFd, STDERR_FILENO);
  pid_t Pid = 0;
  const int Failed = posix_spawn(&Pid, Program.c_str(), &Actions, nullptr,
                                 Argv.data(), environ);
  posix_spawn_file_actions_destroy(&Actions);
  if (Failed != 0)
    return std::nullopt;
  return Pid;
}

std::unique_ptr<ChildProcess>
ChildProcess::start(const std::string &Program,
                    std::vector<std::string> Arguments) {
  int Ends[2];
  if (pipe2(Ends, O_CLOEXEC) != 0)
    return nullptr;
  const std::optional<pid_t> Pid = spawn(Program, Arguments, Ends[1]);
  close(Ends[1]);
  if (!Pid) {
    close(Ends[0]);
    return nullptr;
  }
  return std::unique_ptr<ChildProcess>(new ChildProcess(*Pid, Ends[0]));
}

ChildProcess::ChildProcess(pid_t Started, int OutputEnd)
    : Pid(Started), OutputFd(OutputEnd), Reader([this] { readOutput(); }) {}

ChildProcess::~ChildProcess() {
  kill();
  wait(absl::InfiniteDuration());
  Reader.join();
  close(OutputFd);
}

std::string ChildProcess::output() const {
  const PosixMutexLock Held(&Lock);
  return Captured;
}

bool ChildProcess::waitForOutput(absl::string_view Text, Duration Limit) {
  std::unique_lock<std::mutex> Held(Lock.native());
  const Duration Bounded = std::min(Limit, absl::Hours(1));
  OutputGrew.wait_for(Held, absl::ToChronoNanoseconds(Bounded), [&] {
    return OutputClosed || absl::StrContains(Captured, Text);
  });
  return absl::StrContains(Captured, Text);
}

void ChildProcess::terminate() {
  if (!ExitCode)
    ::kill(Pid, SIGTERM);
}

void ChildProcess::kill() {
  if (!ExitCode)
    ::kill(Pid, SIGKILL);
}

void ChildProcess::pause() {
  if (ExitCode)
    return;
  ::kill(Pid, SIGSTOP);
  // The signal takes effect later; wait until all threads stand still.
  siginfo_t Stopped = {};
  waitid(P_PID, static_cast<id_t>(Pid), &Stopped, WSTOPPED);
}

void ChildProcess::resume() {
  if (!ExitCode)
    ::kill(Pid, SIGCONT);
}

std::optional<int> ChildProcess::wait(Duration Limit) {
  waitUntil(
      [this] {
        int Status = 0;
        if (!ExitCode && waitpid(Pid, &Status, WNOHANG) == Pid)
          ExitCode =
              WIFEXITED(Status) ? WEXITSTATUS(Status) : 128 + WTERMSIG(Status);
        return ExitCode.has_value();
      },
      Limit);
  return ExitCode;
}

void ChildProcess::readOutput() {
  char Buffer[4096];
  for (;;) {
    const ssize_t Count = read(OutputFd, Buffer, sizeof(Buffer));
    if (Count < 0 && errno == EINTR)
      continue;
    const PosixMutexLock Held(&Lock);
    if (Count <= 0) {
      OutputClosed = true;
      OutputGrew.notify_all();
      return;
    }
    Captured.append(Buffer, static_cast<std::size_t>(Count));
    OutputGrew.notify_all();
  }
}

} // namespace quetzallead
