#include "platform/PlatformDeployment.h"
#include "relay/RelayDaemon.h"
#include "runtime/Version.h"
#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>

namespace options = boost::program_options;
using namespace quetzallead;

namespace {

constexpr int ExitOk = 0;
constexpr int ExitFailed = 1;
constexpr int ExitUsage = 2;

int runRelay(const RelaySettings &S) {
  initBoundedLogging(S.Log, S.Instance, S.LogLinesPerSecond);
  std::signal(SIGPIPE, SIG_IGN);
  RelayDaemon Daemon(S, platformDeployment());
  auto Bound = capture([&] { return Daemon.listen(); });
  if (auto *Fault = std::get_if<Error>(&Bound)) {
    logEvent(LogLevel::Error, "start_failed", {{"reason", Fault->text()}});
    return ExitFailed;
  }
  Daemon.run();
  return ExitOk;
}

} // namespace

int main(int ArgCount, char **Args) {
  options::options_description Known("Options");
  Known.add_options()("help", "print this help")(
      "version", "print the version")("settings", options::value<std::string>(),
                                      "settings file, JSON with comments")(
      "check-settings", "check the settings and exit");
  options::variables_map Given;
  try {
    options::store(options::parse_command_line(ArgCount, Args, Known), Given);
  } catch (const options::error &Fault) {
    std::cerr << "quetzallead-relayd: " << Fault.what() << "\n";
    return ExitUsage;
  }
  if (Given.count("help") != 0) {
    std::cout << "Usage: quetzallead-relayd --settings FILE\n" << Known;
    return ExitOk;
  }
  if (Given.count("version") != 0) {
    std::cout << "quetzallead-relayd " << Version << "\n";
    return ExitOk;
  }
  if (Given.count("settings") == 0) {
    std::cerr << "quetzallead-relayd: --settings FILE is needed\n";
    return ExitUsage;
  }
  auto Loaded = capture(
      [&] { return loadRelaySettings(Given["settings"].as<std::string>()); });
  if (auto *Fault = std::get_if<Error>(&Loaded)) {
    std::cerr << "quetzallead-relayd: " << Fault->text() << "\n";
    return ExitFailed;
  }
  if (Given.count("check-settings") != 0)
    return ExitOk;
  return runRelay(std::get<RelaySettings>(Loaded));
}
