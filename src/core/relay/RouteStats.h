#ifndef QUETZALLEAD_CORE_RELAY_ROUTESTATS_H
#define QUETZALLEAD_CORE_RELAY_ROUTESTATS_H

#include "quetzallead/LatencyTracker.h"
#include "quetzallead/Time.h"

namespace quetzallead {

/// What the requests of one route cost at a backend server of ordinary speed.
/// Routes differ in work, so that a server's speed is judged against the route
/// of each attempt.
class RouteStats {
public:
  /// An attempt was answered after \p Elapsed by a server that takes
  /// \p Slowness times as long as an ordinary one.
  void record(Duration Elapsed, double Slowness, TimePoint Now);
  /// Time to the answer of an ordinary, idle server.
  Duration expected() const { return Mean; }
  /// False before the first answer; expected() is a guess then.
  bool known() const { return Known; }
  /// Delay after which few attempts are still to be answered by themselves.
  Duration hedgeDelay() const;

private:
  /// Assumed before the first answer.
  static constexpr Duration FirstExpected = absl::Milliseconds(10);

  Duration Mean = FirstExpected;
  bool Known = false;
  LatencyTracker Latencies;
  Duration Hedge = absl::ZeroDuration();
  TimePoint HedgeAt = absl::InfinitePast();
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_ROUTESTATS_H
