#ifndef QUETZALLEAD_RUNTIME_REQUESTSAMPLE_H
#define QUETZALLEAD_RUNTIME_REQUESTSAMPLE_H

#include "quetzallead/Priority.h"
#include "quetzallead/Time.h"
#include "runtime/RequestOutcome.h"
#include <string>

namespace quetzallead {

/// What metrics keep of one ended request.
struct RequestSample {
  std::string Service;
  Priority Urgency = Priority::Ordinary;
  RequestOutcome Outcome = RequestOutcome::Complete;
  /// From its arrival to its answer.
  Duration Elapsed;
  /// Shards that the request asked for, and those that the answer covers.
  int WantedShards = 0;
  int CoveredShards = 0;
};

} // namespace quetzallead

#endif // QUETZALLEAD_RUNTIME_REQUESTSAMPLE_H
