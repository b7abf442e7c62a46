#include "core/relay/ServerPause.h"
#include <algorithm>
#include <array>

namespace quetzallead {

/// Delays from the beginning of a pause after which the server may be tried.
static constexpr std::array<Duration, MaxPauseTries> TryDelays = {
    absl::Seconds(15), absl::Minutes(5)};

bool extendPause(ServerPause &Pause, Duration Time, TimePoint Now) {
  if (Time <= absl::ZeroDuration())
    return false;
  const bool Begins = !isPaused(Pause, Now);
  if (Begins)
    Pause = ServerPause{Now, Now, 0};
  Pause.EndsAt = std::max(Pause.EndsAt, Now + Time);
  return Begins;
}

bool permitsAttempt(const ServerPause &Pause, TimePoint Now) {
  if (!isPaused(Pause, Now))
    return true;
  return Pause.Tries < MaxPauseTries &&
         Now >=
             Pause.BeganAt + TryDelays[static_cast<std::size_t>(Pause.Tries)];
}

} // namespace quetzallead
