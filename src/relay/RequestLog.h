#ifndef QUETZALLEAD_RELAY_REQUESTLOG_H
#define QUETZALLEAD_RELAY_REQUESTLOG_H

#include "core/relay/RelayResult.h"
#include "quetzallead/Time.h"

namespace quetzallead {

class RelaySession;

/// Logs the end of a request with \p Verdict at \p Now: each one that was not
/// served, was late or lacks parts, and some of the others.
void logRequestEnd(const RelaySession &Session, const RelayResult &Verdict,
                   TimePoint Now);

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_REQUESTLOG_H
