#ifndef QUETZALLEAD_TIME_H
#define QUETZALLEAD_TIME_H

#include "absl/time/time.h"

namespace quetzallead {

/// A point on the process's own clock. The clock is anchored to wall time at
/// start and then only follows the monotonic clock, so it never steps back.
using TimePoint = absl::Time;

/// A span of time; carries its unit.
using Duration = absl::Duration;

} // namespace quetzallead

#endif // QUETZALLEAD_TIME_H
