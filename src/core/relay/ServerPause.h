#ifndef QUETZALLEAD_CORE_RELAY_SERVERPAUSE_H
#define QUETZALLEAD_CORE_RELAY_SERVERPAUSE_H

#include "quetzallead/Time.h"

namespace quetzallead {

/// Time for which a backend server has asked this instance for no requests.
///
/// Handles servers that shed load by naming a time, and times that are far too
/// long: a server gets at most MaxPauseTries attempts during the pause, each
/// after a longer delay, so that a wrong time does not exclude it unnoticed.
struct ServerPause {
  TimePoint BeganAt = absl::InfinitePast();
  TimePoint EndsAt = absl::InfinitePast();
  /// Attempts sent during the pause.
  int Tries = 0;
};

inline constexpr int MaxPauseTries = 2;

/// Extends \p Pause to at least \p Time from \p Now. Returns true if it began
/// now.
bool extendPause(ServerPause &Pause, Duration Time, TimePoint Now);
inline bool isPaused(const ServerPause &Pause, TimePoint Now) {
  return Now < Pause.EndsAt;
}
/// Whether an attempt may be sent at \p Now.
bool permitsAttempt(const ServerPause &Pause, TimePoint Now);

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_SERVERPAUSE_H
