#include "runtime/LogLimiter.h"
#include <algorithm>

namespace quetzallead {

/// Seconds of lines that may come at once.
static constexpr double BurstSeconds = 2;
/// Between two words of dropped lines.
static constexpr Duration TellPeriod = absl::Seconds(1);

LogLimiter::LogLimiter(double GivenLinesPerSecond)
    : LinesPerSecond(GivenLinesPerSecond) {}

bool LogLimiter::admit(absl::string_view Event, TimePoint Now) {
  const double Most = LinesPerSecond * BurstSeconds;
  auto [Place, New] = Buckets.try_emplace(Event, Bucket{Most, Now});
  Bucket &B = Place->second;
  if (!New) {
    const double Passed = absl::ToDoubleSeconds(Now - B.FilledAt);
    B.Tokens =
        std::min(Most, B.Tokens + std::max(0.0, Passed) * LinesPerSecond);
    B.FilledAt = Now;
  }
  if (B.Tokens < 1) {
    ++Dropped;
    return false;
  }
  B.Tokens -= 1;
  return true;
}

std::uint64_t LogLimiter::takeDropped(TimePoint Now) {
  if (Dropped == 0 || Now - ToldAt < TellPeriod)
    return 0;
  ToldAt = Now;
  const std::uint64_t Count = Dropped;
  Dropped = 0;
  return Count;
}

} // namespace quetzallead
