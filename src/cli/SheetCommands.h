#ifndef QUETZALLEAD_CLI_SHEETCOMMANDS_H
#define QUETZALLEAD_CLI_SHEETCOMMANDS_H

#include "cli/ExitCode.h"

namespace quetzallead {

struct Session;

/// Checks the sheet in a file; reaches no instance.
ExitCode sheetCheck(Session &S);

/// Prints what changes from the sheet in one file to that in another; with one
/// file, from the sheet in force.
ExitCode sheetDiff(Session &S);

/// Submits the sheet in a file. Submits the same id again while the outcome is
/// unknown, until it is settled or the time for it is over.
ExitCode sheetSubmit(Session &S);

} // namespace quetzallead

#endif // QUETZALLEAD_CLI_SHEETCOMMANDS_H
