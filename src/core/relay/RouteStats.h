#ifndef QUETZALLEAD_CORE_RELAY_ROUTESTATS_H
#define QUETZALLEAD_CORE_RELAY_ROUTESTATS_H

#include "quetzallead/LatencyTracker.h"
#include "quetzallead/Time.h"
#include <cstddef>

namespace quetzallead {

/// Latency statistics of one route at a backend server of typical speed. Routes
/// differ in the work per request, so a server's speed is measured relative to
/// the route of each attempt.
class RouteStats {
public:
  /// Records a response received after \p Elapsed from a server that takes
  /// \p Slowness times as long as a typical one.
  void record(Duration Elapsed, double Slowness, TimePoint Now);
  /// Expected response time of a typical, idle server.
  Duration expected() const { return Mean; }
  /// False before the first response; expected() is a default until then.
  bool known() const { return Known; }
  /// Records the size of a complete answer.
  void recordBytes(std::size_t Bytes);
  /// Bytes that most answers do not exceed by much; 0 before the first one.
  std::size_t usualBytes() const { return static_cast<std::size_t>(Bytes); }
  /// Delay after which a hedge is sent: most attempts have completed by then.
  Duration hedgeDelay() const;

private:
  /// Mean assumed before the first response.
  static constexpr Duration InitialMean = absl::Milliseconds(10);

  Duration Mean = InitialMean;
  bool Known = false;
  double Bytes = 0;
  LatencyTracker Latencies;
  Duration HedgeLatency = absl::ZeroDuration();
  TimePoint HedgeLatencyAt = absl::InfinitePast();
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_ROUTESTATS_H
