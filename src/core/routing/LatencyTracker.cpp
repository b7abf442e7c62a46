#include "quetzallead/LatencyTracker.h"
#include <algorithm>
#include <cmath>

namespace quetzallead {

/// Ratio between the bounds of neighbouring buckets.
static constexpr double BucketGrowth = 1.05;
/// Lower bound of the first bucket.
static constexpr double FirstBucketMicros = 20.0;
/// Samples below which no quantile is given.
static constexpr std::uint64_t LeastSamples = 50;
/// Every period all buckets are halved.
static constexpr Duration FadePeriod = absl::Seconds(5);

static int bucketOf(Duration Latency, int BucketCount) {
  double Micros = absl::ToDoubleMicroseconds(Latency);
  if (Micros <= FirstBucketMicros)
    return 0;
  double Steps = std::log(Micros / FirstBucketMicros) / std::log(BucketGrowth);
  return std::min(BucketCount - 1, static_cast<int>(Steps) + 1);
}

void LatencyTracker::record(Duration Latency, TimePoint Now) {
  fade(Now);
  auto &Bucket = Buckets[bucketOf(Latency, BucketCount)];
  Bucket.fetch_add(1, std::memory_order_relaxed);
}

void LatencyTracker::fade(TimePoint Now) {
  std::int64_t NowNanos = absl::ToUnixNanos(Now);
  std::int64_t Due = NextFadeNanos.load(std::memory_order_relaxed);
  if (NowNanos < Due)
    return;
  std::int64_t Next = NowNanos + absl::ToInt64Nanoseconds(FadePeriod);
  if (!NextFadeNanos.compare_exchange_strong(Due, Next,
                                             std::memory_order_relaxed))
    return;
  for (auto &Bucket : Buckets) {
    std::uint32_t Count = Bucket.load(std::memory_order_relaxed);
    Bucket.fetch_sub(Count - Count / 2, std::memory_order_relaxed);
  }
}

std::optional<Duration> LatencyTracker::quantile(double Q) const {
  std::uint64_t Total = 0;
  for (const auto &Bucket : Buckets)
    Total += Bucket.load(std::memory_order_relaxed);
  if (Total < LeastSamples)
    return std::nullopt;
  auto Wanted = static_cast<std::uint64_t>(Q * static_cast<double>(Total));
  std::uint64_t Seen = 0;
  for (int Index = 0; Index < BucketCount; ++Index) {
    Seen += Buckets[Index].load(std::memory_order_relaxed);
    if (Seen > Wanted)
      return absl::Microseconds(FirstBucketMicros *
                                std::pow(BucketGrowth, Index));
  }
  return absl::Microseconds(FirstBucketMicros *
                            std::pow(BucketGrowth, BucketCount));
}

} // namespace quetzallead
