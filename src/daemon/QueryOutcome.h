#ifndef QUETZALLEAD_DAEMON_QUERYOUTCOME_H
#define QUETZALLEAD_DAEMON_QUERYOUTCOME_H

#include "quetzallead/Answer.h"
#include "quetzallead/Time.h"

namespace quetzallead {

/// What a query came to.
struct QueryOutcome {
  Answer Result;
  /// When to come back, if something was refused; zero otherwise.
  Duration RetryAfter = absl::ZeroDuration();
  /// Attempts beyond the first of each part, hedges included.
  int ExtraAttempts = 0;
  int Hedges = 0;
};

} // namespace quetzallead

#endif // QUETZALLEAD_DAEMON_QUERYOUTCOME_H
