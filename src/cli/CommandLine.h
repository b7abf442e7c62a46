#ifndef QUETZALLEAD_CLI_COMMANDLINE_H
#define QUETZALLEAD_CLI_COMMANDLINE_H

#include "quetzallead/Error.h"
#include "quetzallead/Time.h"
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace quetzallead {

/// The options and words of one run of the tool.
struct CommandLine {
  bool Help = false;
  bool Version = false;
  /// Print answers as JSON.
  bool Json = false;
  /// "ip:port" of an instance's listener for operators, and for callers.
  std::string Admin = "127.0.0.1:20001";
  std::string Caller = "127.0.0.1:20000";
  /// File with the operator token; empty for none.
  std::string TokenFile;
  /// Limit on one call.
  Duration Timeout = absl::Seconds(10);

  /// Of "sheet submit".
  std::string Author;
  std::string Reason;
  std::string SubmissionId;
  std::optional<std::uint64_t> BaseRevision;
  /// Time for which an unknown outcome is asked for again.
  Duration SettleTime = absl::Seconds(60);

  /// Of "ask".
  std::string Merge;
  std::string OrderBy;
  std::optional<std::uint64_t> Limit;
  std::vector<std::string> Shards;

  /// The command and its arguments.
  std::vector<std::string> Words;
};

/// Reads the command line. Fails with InvalidArgument.
Result<CommandLine> parseCommandLine(int ArgCount, const char *const *Args);

/// Description of the options, for --help.
std::string optionsHelp();

} // namespace quetzallead

#endif // QUETZALLEAD_CLI_COMMANDLINE_H
