#ifndef QUETZALLEAD_RELAY_RELAYMETRICS_H
#define QUETZALLEAD_RELAY_RELAYMETRICS_H

#include "core/relay/HedgeObstacle.h"
#include "core/relay/RelayVerdict.h"
#include "quetzallead/AttemptCause.h"
#include "quetzallead/AttemptResult.h"
#include "relay/RejectReason.h"
#include "relay/RelaySnapshot.h"
#include <cstddef>
#include <memory>
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

/// Counters and histograms of one relay, on prometheus-cpp; times in seconds.
/// Labels are bounded: routes and services beyond the first ones count as
/// "other". Not thread-safe.
class RelayMetrics {
public:
  /// Most routes and services that have series of their own.
  static constexpr std::size_t MaxRouteSeries = 64;
  static constexpr std::size_t MaxServiceSeries = 256;

  RelayMetrics(const std::string &Instance, const std::string &Zone);
  ~RelayMetrics();

  void requestEnded(const RelayRequestSample &Sample);
  void requestRejected(RejectReason Reason);
  void attemptEnded(const std::string &Service, AttemptCause Cause,
                    AttemptResult Result, Duration Elapsed);
  /// All metrics in the text format of Prometheus, with \p Now as the state of
  /// what is not counted but looked up.
  std::string text(const RelaySnapshot &Now);

private:
  class Series;

  std::unique_ptr<Series> All;
};

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_RELAYMETRICS_H
