#ifndef QUETZALLEAD_DAEMON_REQUESTCONTEXT_H
#define QUETZALLEAD_DAEMON_REQUESTCONTEXT_H

#include "quetzallead/Priority.h"
#include "quetzallead/Time.h"
#include <string>

namespace quetzallead {

/// What is known of a caller's request apart from what it asks.
struct RequestContext {
  /// Unique identifier, given by this instance.
  std::string RequestId;
  /// W3C traceparent, passed on; empty if the caller sent none.
  std::string TraceParent;
  Priority Urgency = Priority::Ordinary;
  /// When the instance received it.
  TimePoint Received;
};

} // namespace quetzallead

#endif // QUETZALLEAD_DAEMON_REQUESTCONTEXT_H
