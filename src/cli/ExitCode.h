#ifndef QUETZALLEAD_CLI_EXITCODE_H
#define QUETZALLEAD_CLI_EXITCODE_H

namespace quetzallead {

/// How the tool ends, for scripts.
enum class ExitCode {
  Ok = 0,
  Refused = 1,     ///< The input or the request was refused; nothing was done.
  Usage = 2,       ///< The command line is wrong.
  Unreachable = 3, ///< The instance or the store could not be reached.
  Conflict = 4,    ///< Another change came first; nothing was done.
  Unknown = 5,     ///< It cannot be told whether it was done.
};

} // namespace quetzallead

#endif // QUETZALLEAD_CLI_EXITCODE_H
