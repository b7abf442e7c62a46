#ifndef QUETZALLEAD_CLI_REMOTECALL_H
#define QUETZALLEAD_CLI_REMOTECALL_H

#include "transport/http/HttpClient.h"

namespace quetzallead {

/// Makes \p Call and waits for its end.
HttpOutcome callAndWait(HttpClient &Client, HttpCall Call);

/// True if no byte of the call reached the other side.
bool wasNotSent(const HttpOutcome &Http);

} // namespace quetzallead

#endif // QUETZALLEAD_CLI_REMOTECALL_H
