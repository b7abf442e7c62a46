#include "core/relay/RouteStats.h"
#include <algorithm>

namespace quetzallead {

/// Weight of a new sample in the moving average of the latency.
static constexpr double SampleWeight = 0.05;
/// Quantile of the response times after which a hedge is sent; hedges for the
/// remaining attempts fit into the extra load budget.
static constexpr double HedgeQuantile = 0.9;
/// Minimum hedge delay as a multiple of the mean: earlier hedges would
/// duplicate attempts of average latency.
static constexpr double MinHedgeRatio = 1.5;
/// Maximum hedge delay as a multiple of the mean: an attempt that takes longer
/// is most likely at a stalled server, however wide the latency distribution.
static constexpr double MaxHedgeRatio = 3.0;
/// Minimum time between reads of the quantile from the histogram.
static constexpr Duration QuantileRefreshInterval = absl::Milliseconds(250);

void RouteStats::record(Duration Elapsed, double Slowness, TimePoint Now) {
  const Duration Normalized = Elapsed / std::max(1.0, Slowness);
  Mean = Known ? Mean * (1 - SampleWeight) + Normalized * SampleWeight
               : Normalized;
  Known = true;
  Latencies.record(Elapsed, Now);
  if (Now - HedgeLatencyAt < QuantileRefreshInterval)
    return;
  HedgeLatencyAt = Now;
  HedgeLatency =
      Latencies.quantile(HedgeQuantile).value_or(absl::ZeroDuration());
}

void RouteStats::recordBytes(std::size_t NewBytes) {
  const auto Sample = static_cast<double>(NewBytes);
  // Follows growth at once: the size is used to tell answers without end.
  Bytes = std::max(Sample, Bytes * (1 - SampleWeight) + Sample * SampleWeight);
}

Duration RouteStats::hedgeDelay() const {
  return std::clamp(HedgeLatency, Mean * MinHedgeRatio, Mean * MaxHedgeRatio);
}

} // namespace quetzallead
