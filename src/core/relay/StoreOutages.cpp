#include "core/relay/StoreOutages.h"
#include <algorithm>

namespace quetzallead {

/// Longest time between two calls of advance() while the process runs.
static constexpr Duration CheckInterval = absl::Milliseconds(500);
/// A longer time without a call of advance() does not count: the process was
/// frozen.
static constexpr Duration MaxStep = absl::Milliseconds(750);
/// How long before LapseTime the first probe is sent, the interval of the
/// others, and their number: the answer to one may be lost.
static constexpr Duration ProbeLead = absl::Milliseconds(500);
static constexpr Duration ProbeInterval = absl::Milliseconds(150);
static constexpr int MaxProbes = 3;

StoreOutages::StoreOutages(Duration GivenLapseTime)
    : LapseTime(GivenLapseTime) {}

Duration StoreOutages::firstProbeAfter() const {
  return std::max(LapseTime / 2, LapseTime - ProbeLead);
}

void StoreOutages::begin(TimePoint Now) { ServedAt = SeenAt = Now; }

void StoreOutages::account(TimePoint Now) {
  if (Now <= SeenAt || SeenAt == absl::InfinitePast())
    return;
  if (Now - SeenAt <= MaxStep)
    Silence += Now - SeenAt;
  SeenAt = Now;
}

bool StoreOutages::onServed(TimePoint Now) {
  return onServedElsewhere(Now, Now);
}

bool StoreOutages::onServedElsewhere(TimePoint At, TimePoint Now) {
  account(Now);
  if (At < ServedAt || SeenAt == absl::InfinitePast())
    return false;
  const Duration Since = std::max(absl::ZeroDuration(), Now - At);
  const bool WasAway = Silence - Since >= LapseTime;
  ServedAt = At;
  Silence = std::min(Silence, Since);
  Probes = 0;
  return WasAway;
}

bool StoreOutages::advance(TimePoint Now) {
  account(Now);
  if (Probes == MaxProbes ||
      Silence < firstProbeAfter() + ProbeInterval * Probes)
    return false;
  ++Probes;
  return true;
}

TimePoint StoreOutages::nextCheck() const {
  if (Probes == MaxProbes)
    return SeenAt + CheckInterval;
  const Duration ToProbe = firstProbeAfter() + ProbeInterval * Probes - Silence;
  return SeenAt + std::clamp(ToProbe, absl::Milliseconds(1), CheckInterval);
}

} // namespace quetzallead
