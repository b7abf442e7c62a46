#ifndef QUETZALLEAD_CLI_OPERATORCOMMANDS_H
#define QUETZALLEAD_CLI_OPERATORCOMMANDS_H

#include "cli/ExitCode.h"

namespace quetzallead {

struct Session;

// Each makes one call to the operators' listener and prints the answer.

ExitCode showStatus(Session &S);
ExitCode showInstances(Session &S);
ExitCode showServices(Session &S);
ExitCode showServers(Session &S);
ExitCode showAudit(Session &S);
ExitCode showSheet(Session &S);
ExitCode showSheetStatus(Session &S);
/// REQUEST-ID
ExitCode explainRequest(Session &S);
ExitCode drainInstance(Session &S);

} // namespace quetzallead

#endif // QUETZALLEAD_CLI_OPERATORCOMMANDS_H
