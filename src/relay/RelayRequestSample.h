#ifndef QUETZALLEAD_RELAY_RELAYREQUESTSAMPLE_H
#define QUETZALLEAD_RELAY_RELAYREQUESTSAMPLE_H

#include "core/relay/RelayVerdict.h"
#include "quetzallead/Time.h"
#include <cstddef>
#include <string>

namespace quetzallead {

/// One request of a caller that has ended.
struct RelayRequestSample {
  std::string Route;
  RelayOutcome Outcome = RelayOutcome::Failed;
  Duration Elapsed = absl::ZeroDuration();
  /// The route's objective.
  Duration Objective = absl::ZeroDuration();
  std::size_t WantedParts = 0;
  std::size_t MissingParts = 0;
  /// Parts whose last hedge was held back, by the reason.
  std::size_t HedgesWithoutBudget = 0;
  std::size_t HedgesWithoutServer = 0;
};

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_RELAYREQUESTSAMPLE_H
