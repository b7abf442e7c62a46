#include "platform/PlatformDeployment.h"
#include "relay/RelayDaemon.h"
#include "runtime/DaemonArguments.h"
#include "runtime/UnhandledExceptions.h"
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <malloc.h>

using namespace quetzallead;

namespace {

/// Allocations from this size on are returned to the system when freed.
constexpr int LargeAllocationBytes = 128 * 1024;

int runRelay(const RelaySettings &S) {
  initBoundedLogging(S.Log, S.Instance, S.LogLinesPerSecond);
  reportUnhandledExceptions();
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
  auto Parsed = parseDaemonArguments("quetzallead-relayd", ArgCount, Args);
  if (int *Code = std::get_if<int>(&Parsed))
    return *Code;
  const auto &Arguments = std::get<DaemonArguments>(Parsed);
  auto Loaded =
      capture([&] { return loadRelaySettings(Arguments.SettingsFile); });
  if (auto *Fault = std::get_if<Error>(&Loaded)) {
    std::cerr << "quetzallead-relayd: " << Fault->text() << "\n";
    return ExitFailed;
  }
  auto &S = std::get<RelaySettings>(Loaded);
  const char *Regions = std::getenv(ZoneRegionsVariable);
  if (Regions != nullptr && *Regions != '\0') {
    auto Applied = capture([&] { return applyZoneRegions(Regions, S); });
    if (auto *Fault = std::get_if<Error>(&Applied)) {
      std::cerr << "quetzallead-relayd: " << Fault->text() << "\n";
      return ExitFailed;
    }
  }
  if (Arguments.PrintSettings)
    std::cout << formatRelaySettings(S);
  if (Arguments.PrintSettings || Arguments.CheckSettings)
    return ExitOk;
  // Large messages get memory of their own, which is returned when they end.
  mallopt(M_MMAP_THRESHOLD, LargeAllocationBytes);
  return runRelay(S);
}
