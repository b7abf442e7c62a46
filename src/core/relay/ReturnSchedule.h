#ifndef QUETZALLEAD_CORE_RELAY_RETURNSCHEDULE_H
#define QUETZALLEAD_CORE_RELAY_RETURNSCHEDULE_H

#include "quetzallead/Time.h"

namespace quetzallead {

/// When requests that were turned away should come back to one service: one
/// after the other at the pace at which places come free, so that those who
/// were refused together do not return together.
///
/// Load pattern it answers: bursts beyond the capacity, after which callers
/// that all return at one moment are refused again. Not thread-safe.
class ReturnSchedule {
public:
  /// Time after which a request that is refused now should return, if there
  /// is no room before \p Wait is over and a place comes free each \p Pace.
  /// A place further away than \p Longest, the time for which callers heed such
  /// a word, is not given: then \p Wait is all that can be said, and those who
  /// return compete with newcomers.
  Duration reserve(Duration Wait, Duration Pace, Duration Longest,
                   TimePoint Now);

private:
  /// The last place that was given away.
  TimePoint Last = absl::InfinitePast();
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_RETURNSCHEDULE_H
