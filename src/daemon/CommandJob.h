#ifndef QUETZALLEAD_DAEMON_COMMANDJOB_H
#define QUETZALLEAD_DAEMON_COMMANDJOB_H

#include "daemon/CallerRequest.h"
#include "daemon/RequestContext.h"
#include <string>

namespace quetzallead {

/// One command as it came from a caller.
struct CommandJob {
  RequestContext Context;
  std::string Service;
  /// The Idempotency-Key; empty if there was none.
  std::string Ticket;
  /// Session of the caller; empty if there is none.
  std::string SessionId;
  CommandRequest Request;
  /// The body as it came; a re-sent command has the same.
  std::string Body;
};

} // namespace quetzallead

#endif // QUETZALLEAD_DAEMON_COMMANDJOB_H
