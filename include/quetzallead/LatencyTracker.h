#ifndef QUETZALLEAD_LATENCYTRACKER_H
#define QUETZALLEAD_LATENCYTRACKER_H

#include "quetzallead/Time.h"
#include <array>
#include <atomic>
#include <cstdint>
#include <optional>

namespace quetzallead {

/// Quantiles of recent latencies of one service, from a histogram with
/// logarithmic buckets whose older samples fade out. Thread-safe.
class LatencyTracker {
public:
  void record(Duration Latency, TimePoint Now);
  /// The latency below which the share \p Q of recent samples lies, within
  /// 5 percent; nothing until enough samples were seen.
  std::optional<Duration> quantile(double Q) const;

private:
  static constexpr int BucketCount = 320;

  void fade(TimePoint Now);

  std::array<std::atomic<std::uint32_t>, BucketCount> Buckets{};
  std::atomic<std::int64_t> NextFadeNanos{0};
};

} // namespace quetzallead

#endif // QUETZALLEAD_LATENCYTRACKER_H
