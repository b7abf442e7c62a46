#ifndef QUETZALLEAD_CLI_ASKCOMMANDS_H
#define QUETZALLEAD_CLI_ASKCOMMANDS_H

#include "cli/ExitCode.h"

namespace quetzallead {

struct Session;

// A small caller: each opens a session, sends one request and prints the
// answer. Incomplete coverage is printed, and is no failure.

/// SERVICE [QUERY-JSON]
ExitCode askSurvey(Session &S);
/// SERVICE KEY [QUERY-JSON]
ExitCode askLookup(Session &S);
/// SERVICE KEY COMMAND-JSON
ExitCode askCommand(Session &S);

} // namespace quetzallead

#endif // QUETZALLEAD_CLI_ASKCOMMANDS_H
