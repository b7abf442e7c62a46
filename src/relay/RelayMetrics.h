#ifndef QUETZALLEAD_RELAY_RELAYMETRICS_H
#define QUETZALLEAD_RELAY_RELAYMETRICS_H

#include "quetzallead/AttemptCause.h"
#include "quetzallead/AttemptResult.h"
#include "relay/RejectReason.h"
#include "relay/RelayRequestSample.h"
#include "relay/RelaySnapshot.h"
#include <cstddef>
#include <memory>
#include <string>

namespace quetzallead {

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
