#ifndef QUETZALLEAD_DAEMON_ANSWERCODEC_H
#define QUETZALLEAD_DAEMON_ANSWERCODEC_H

#include "quetzallead/MergeKind.h"
#include "transport/http/HttpMessage.h"
#include <string>

namespace quetzallead {

struct QueryOutcome;

/// The response to a query that was run, see docs/PROTOCOLS.md. One without any
/// covered shard is a problem: refused if nothing was executed, otherwise past
/// its deadline.
HttpResponse answerResponse(const std::string &RequestId,
                            const std::string &Service, MergeKind Kind,
                            const QueryOutcome &Outcome);

} // namespace quetzallead

#endif // QUETZALLEAD_DAEMON_ANSWERCODEC_H
