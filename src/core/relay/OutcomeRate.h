#ifndef QUETZALLEAD_CORE_RELAY_OUTCOMERATE_H
#define QUETZALLEAD_CORE_RELAY_OUTCOMERATE_H

#include "quetzallead/Time.h"

namespace quetzallead {

/// Share of a server's attempts that ended in one way, as a moving average that
/// decays while no attempt ends, so that a server is used again after a while.
struct OutcomeRate {
  /// 0 to 1, at RecordedAt.
  double Value = 0;
  TimePoint RecordedAt = absl::InfinitePast();
};

double outcomeRate(const OutcomeRate &Rate, TimePoint Now);
/// Records an attempt that ended in that way, or in another one.
void recordOutcomeSample(OutcomeRate &Rate, bool Hit, TimePoint Now);

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_OUTCOMERATE_H
