#ifndef QUETZALLEAD_CORE_RELAY_RETRYSCHEDULE_H
#define QUETZALLEAD_CORE_RELAY_RETRYSCHEDULE_H

#include "quetzallead/Time.h"

namespace quetzallead {

/// Assigns retry times to the rejected requests of one service. Retries are
/// spaced by the interval at which slots become free, so that requests rejected
/// together are not retried together. Without this, the callers of a burst
/// beyond the capacity all retry at once and are rejected again. Not
/// thread-safe.
class RetrySchedule {
public:
  /// Returns the delay after which a request rejected now should be retried, if
  /// no slot is free before \p Wait and one becomes free every \p Interval.
  /// \p MaxDelay is the longest delay that callers accept: if the next retry
  /// time is later, nothing is reserved and \p Wait is returned, so that these
  /// retries compete with new requests.
  Duration reserve(Duration Wait, Duration Interval, Duration MaxDelay,
                   TimePoint Now);

private:
  /// The latest retry time assigned so far.
  TimePoint LastReserved = absl::InfinitePast();
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_RETRYSCHEDULE_H
