#include "daemon/Daemon.h"
#include "daemon/Secrets.h"
#include "daemon/Settings.h"
#include "runtime/Logger.h"
#include "runtime/Version.h"
#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>
#include <pthread.h>

namespace options = boost::program_options;
using namespace quetzallead;

namespace {

constexpr int ExitOk = 0;
constexpr int ExitFailed = 1;
constexpr int ExitUsage = 2;

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
  options::options_description Known("Options");
  Known.add_options()("help", "print this help")(
      "version", "print the version")("settings", options::value<std::string>(),
                                      "settings file, JSON with comments")(
      "check-settings", "check the settings and exit")(
      "print-settings", "print the effective settings and exit");
  options::variables_map Given;
  try {
    options::store(options::parse_command_line(ArgCount, Args, Known), Given);
  } catch (const options::error &Fault) {
    std::cerr << "quetzalleadd: " << Fault.what() << "\n";
    return ExitUsage;
  }
  if (Given.count("help") != 0) {
    std::cout << "Usage: quetzalleadd --settings FILE\n" << Known;
    return ExitOk;
  }
  if (Given.count("version") != 0) {
    std::cout << "quetzalleadd " << Version << "\n";
    return ExitOk;
  }
  if (Given.count("settings") == 0) {
    std::cerr << "quetzalleadd: --settings FILE is needed\n";
    return ExitUsage;
  }
  const auto &Path = Given["settings"].as<std::string>();
  auto Loaded = capture([&] { return loadSettings(Path); });
  if (auto *Fault = std::get_if<Error>(&Loaded)) {
    std::cerr << "quetzalleadd: " << Fault->text() << "\n";
    return ExitFailed;
  }
  const Settings &S = std::get<Settings>(Loaded);
  if (Given.count("print-settings") != 0)
    std::cout << formatSettings(S) << "\n";
  if (Given.count("print-settings") != 0 || Given.count("check-settings") != 0)
    return ExitOk;
  return runDaemon(S);
}
