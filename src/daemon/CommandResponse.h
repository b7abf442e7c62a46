#ifndef QUETZALLEAD_DAEMON_COMMANDRESPONSE_H
#define QUETZALLEAD_DAEMON_COMMANDRESPONSE_H

#include "core/command/CommandAnswer.h"
#include "transport/http/HttpMessage.h"
#include <string>

namespace quetzallead {

/// The response to a command, see docs/PROTOCOLS.md. Anything but an answer is
/// a problem that says whether the command ran.
HttpResponse commandResponse(const std::string &RequestId,
                             const std::string &Service,
                             const std::string &Shard,
                             const CommandAnswer &Answer);

} // namespace quetzallead

#endif // QUETZALLEAD_DAEMON_COMMANDRESPONSE_H
