#include "load/LatencyRecorder.h"
#include <algorithm>
#include <cmath>

namespace quetzallead {

void LatencyRecorder::add(Duration Sample) {
  Samples.push_back(Sample);
  Sorted = false;
}

Duration LatencyRecorder::quantile(double Q) const {
  if (Samples.empty())
    return absl::ZeroDuration();
  if (!Sorted) {
    std::sort(Samples.begin(), Samples.end());
    Sorted = true;
  }
  const auto Count = static_cast<double>(Samples.size());
  const double Rank = std::ceil(std::clamp(Q, 0.0, 1.0) * Count);
  const auto Index = static_cast<std::size_t>(std::max(Rank, 1.0)) - 1;
  return Samples[std::min(Index, Samples.size() - 1)];
}

} // namespace quetzallead
