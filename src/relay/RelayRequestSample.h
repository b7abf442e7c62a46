#ifndef QUETZALLEAD_RELAY_RELAYREQUESTSAMPLE_H
#define QUETZALLEAD_RELAY_RELAYREQUESTSAMPLE_H

#include "core/relay/RelayResult.h"
#include "quetzallead/Time.h"
#include <cstddef>
#include <string>

namespace quetzallead {

/// A completed caller request, as recorded in the metrics.
struct RelayRequestSample {
  std::string Route;
  RelayOutcome Outcome = RelayOutcome::Failed;
  Duration Elapsed = absl::ZeroDuration();
  /// Of the route: the time within which a response has its full value.
  Duration Objective = absl::ZeroDuration();
  std::size_t WantedParts = 0;
  std::size_t MissingParts = 0;
  /// Parts whose last due hedge was not sent, because the budget for extra load
  /// was exhausted or because no server was available.
  std::size_t HedgesWithoutBudget = 0;
  std::size_t HedgesWithoutServer = 0;
};

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_RELAYREQUESTSAMPLE_H
