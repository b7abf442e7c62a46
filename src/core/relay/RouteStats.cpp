#include "core/relay/RouteStats.h"
#include <algorithm>

namespace quetzallead {

/// Weight of a new sample in the smoothed latency.
static constexpr double SampleWeight = 0.05;
/// Share of the attempts that are answered before a hedge is sent; the rest
/// fits into the budgets of extra load.
static constexpr double HedgeQuantile = 0.9;
/// A hedge before this multiple of the mean would double work that is merely
/// average.
static constexpr double LeastHedgeRatio = 1.5;
/// A hedge after this multiple of the mean waits for a server that has
/// stopped, however wide the latencies spread.
static constexpr double MostHedgeRatio = 3.0;
/// How often the quantile is read from the histogram.
static constexpr Duration QuantileRefresh = absl::Milliseconds(250);

void RouteStats::record(Duration Elapsed, double Slowness, TimePoint Now) {
  const Duration Ordinary = Elapsed / std::max(1.0, Slowness);
  Mean = Known ? Mean * (1 - SampleWeight) + Ordinary * SampleWeight : Ordinary;
  Known = true;
  Latencies.record(Elapsed, Now);
  if (Now - HedgeAt < QuantileRefresh)
    return;
  HedgeAt = Now;
  Hedge = Latencies.quantile(HedgeQuantile).value_or(absl::ZeroDuration());
}

Duration RouteStats::hedgeDelay() const {
  return std::clamp(Hedge, Mean * LeastHedgeRatio, Mean * MostHedgeRatio);
}

} // namespace quetzallead
