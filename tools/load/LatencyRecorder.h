#ifndef QUETZALLEAD_LOAD_LATENCYRECORDER_H
#define QUETZALLEAD_LOAD_LATENCYRECORDER_H

#include "quetzallead/Time.h"
#include <cstddef>
#include <vector>

namespace quetzallead {

/// Keeps every sample, so that quantiles are exact. Not thread-safe.
class LatencyRecorder {
public:
  void add(Duration Sample);
  std::size_t count() const { return Samples.size(); }
  /// The smallest sample that at least the share \p Q, 0 to 1, of all samples
  /// do not exceed; zero if there are none.
  Duration quantile(double Q) const;

private:
  mutable std::vector<Duration> Samples;
  mutable bool Sorted = true;
};

} // namespace quetzallead

#endif // QUETZALLEAD_LOAD_LATENCYRECORDER_H
