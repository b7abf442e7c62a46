#include "daemon/Daemon.h"
#include "daemon/Secrets.h"
#include "daemon/Settings.h"
#include "runtime/DaemonArguments.h"
#include "runtime/Logger.h"
#include "runtime/UnhandledExceptions.h"
#include <csignal>
#include <iostream>
#include <pthread.h>

using namespace quetzallead;

namespace {

/// Blocks the stop signals in all threads; waitForStop() takes them.
sigset_t blockStopSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return Signals;
}

void waitForStop(const sigset_t &Signals) {
  int Signal = 0;
  sigwait(&Signals, &Signal);
}

int runDaemon(const Settings &S) {
  auto Loaded = capture([&] { return loadSecrets(S.SecretsFile); });
  if (auto *Fault = std::get_if<Error>(&Loaded)) {
    std::cerr << "quetzalleadd: " << Fault->text() << "\n";
    return ExitFailed;
  }
  initLogging(S.Log.Level, S.Log.File, S.Instance);
  reportUnhandledExceptions();
  sigset_t Signals = blockStopSignals();
  auto Made =
      capture([&] { return Daemon::make(S, std::get<Secrets>(Loaded)); });
  if (auto *Fault = std::get_if<Error>(&Made)) {
    logEvent(LogLevel::Error, "start_failed", {{"reason", Fault->text()}});
    std::cerr << "quetzalleadd: " << Fault->text() << "\n";
    return ExitFailed;
  }
  auto &Running = std::get<std::unique_ptr<Daemon>>(Made);
  waitForStop(Signals);
  Running->stop();
  return ExitOk;
}

} // namespace

int main(int ArgCount, char **Args) {
  auto Parsed = parseDaemonArguments("quetzalleadd", ArgCount, Args);
  if (int *Code = std::get_if<int>(&Parsed))
    return *Code;
  const auto &Given = std::get<DaemonArguments>(Parsed);
  auto Loaded = capture([&] { return loadSettings(Given.SettingsFile); });
  if (auto *Fault = std::get_if<Error>(&Loaded)) {
    std::cerr << "quetzalleadd: " << Fault->text() << "\n";
    return ExitFailed;
  }
  const Settings &S = std::get<Settings>(Loaded);
  if (Given.PrintSettings)
    std::cout << formatSettings(S) << "\n";
  if (Given.PrintSettings || Given.CheckSettings)
    return ExitOk;
  return runDaemon(S);
}
