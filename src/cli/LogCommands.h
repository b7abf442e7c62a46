#ifndef QUETZALLEAD_CLI_LOGCOMMANDS_H
#define QUETZALLEAD_CLI_LOGCOMMANDS_H

#include "cli/ExitCode.h"

namespace quetzallead {

struct Session;

/// Each tells a story from log files; "-" is standard input. Arguments: what
/// the story is about, then the files.
ExitCode explainRequestFromLogs(Session &S);
ExitCode explainServerFromLogs(Session &S);
ExitCode explainSheetFromLogs(Session &S);

} // namespace quetzallead

#endif // QUETZALLEAD_CLI_LOGCOMMANDS_H
