#include "core/relay/OutcomeRate.h"
#include <cmath>

namespace quetzallead {

/// Weight of a new sample, and the time constant of the exponential decay.
static constexpr double SampleWeight = 0.2;
static constexpr Duration DecayTime = absl::Seconds(3);

double outcomeRate(const OutcomeRate &Rate, TimePoint Now) {
  if (Rate.Value <= 0)
    return 0;
  return Rate.Value *
         std::exp(-absl::FDivDuration(Now - Rate.RecordedAt, DecayTime));
}

void recordOutcomeSample(OutcomeRate &Rate, bool Hit, TimePoint Now) {
  Rate.Value =
      outcomeRate(Rate, Now) * (1 - SampleWeight) + (Hit ? SampleWeight : 0);
  Rate.RecordedAt = Now;
}

} // namespace quetzallead
