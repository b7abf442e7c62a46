#ifndef QUETZALLEAD_CLI_COMMANDS_H
#define QUETZALLEAD_CLI_COMMANDS_H

#include "cli/ExitCode.h"
#include "quetzallead/Time.h"
#include <functional>
#include <iosfwd>

namespace quetzallead {

class HttpClient;

/// Runs the tool: reads the command line, carries the command out, prints the
/// answer to \p Out and complaints to \p Err. \p Pause waits.
ExitCode runTool(int ArgCount, const char *const *Args, HttpClient &Client,
                 std::ostream &Out, std::ostream &Err,
                 const std::function<void(Duration)> &Pause);

} // namespace quetzallead

#endif // QUETZALLEAD_CLI_COMMANDS_H
