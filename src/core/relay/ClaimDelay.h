#ifndef QUETZALLEAD_CORE_RELAY_CLAIMDELAY_H
#define QUETZALLEAD_CORE_RELAY_CLAIMDELAY_H

#include "quetzallead/Time.h"
#include <algorithm>

namespace quetzallead {

/// Time from a home's claim of held-back attempts to the grant, over all asking
/// instances.
class ClaimDelay {
public:
  void record(Duration Elapsed) {
    Mean = Mean * (1 - Weight) + std::min(Elapsed, MaxRecorded) * Weight;
  }
  Duration expected() const { return Mean; }

private:
  /// Weight of a new delay in the mean.
  static constexpr double Weight = 0.1;
  /// A frozen asking instance says nothing about the others.
  static constexpr Duration MaxRecorded = absl::Milliseconds(100);

  /// Until the first grant: a round trip within a zone.
  Duration Mean = absl::Milliseconds(1);
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_CLAIMDELAY_H
