#ifndef QUETZALLEAD_RUNTIME_DAEMONARGUMENTS_H
#define QUETZALLEAD_RUNTIME_DAEMONARGUMENTS_H

#include <string>
#include <variant>

namespace quetzallead {

/// What a daemon is started with.
struct DaemonArguments {
  std::string SettingsFile;
  /// Print the effective settings and exit.
  bool PrintSettings = false;
  /// Check the settings and exit.
  bool CheckSettings = false;
};

/// Exit codes of the daemons.
inline constexpr int ExitOk = 0;
inline constexpr int ExitFailed = 1;
inline constexpr int ExitUsage = 2;

/// Reads the command line of the daemon called \p Program; an exit code if it
/// has nothing to run: help or the version was printed, or a usage error.
std::variant<DaemonArguments, int>
parseDaemonArguments(const std::string &Program, int ArgCount, char **Args);

} // namespace quetzallead

#endif // QUETZALLEAD_RUNTIME_DAEMONARGUMENTS_H
