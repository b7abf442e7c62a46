#ifndef QUETZALLEAD_RELAY_STORELOSSLOG_H
#define QUETZALLEAD_RELAY_STORELOSSLOG_H

#include "relay/LoopTimers.h"
#include "relay/StoreItem.h"
#include <array>
#include <memory>
#include <optional>

namespace quetzallead {

class RelayMetrics;

/// Logs and counts the losses of what is followed in the store.
///
/// Handles watches that are cut at any rate: the first losses are logged one by
/// one, and while there are more than a few in a window, one line for each
/// window sums them up. A loss that lasts is always logged by itself.
class StoreLossLog {
public:
  /// \p What names what is followed. The arguments must outlive this object.
  StoreLossLog(LoopTimers &Timers, RelayMetrics &Metrics, const char *What,
               Duration Window = absl::Minutes(1));

  /// \p LastResponseAt is when the last call was served; infinitely past if
  /// none was.
  void onLost(StoreOutcome Outcome, TimePoint LastResponseAt);
  void onBack();

private:
  struct Loss {
    StoreOutcome Outcome = StoreOutcome::Unknown;
    TimePoint At;
    TimePoint LastResponseAt;
    bool Logged = false;
  };

  void logLoss();
  /// Sums up the losses of the window that were not logged.
  void endWindow();

  LoopTimers &Timers;
  RelayMetrics &Metrics;
  const char *const What;
  const Duration Window;
  std::optional<Loss> Current;
  /// Losses of this window that may still be logged one by one.
  int LinesLeft;
  int Unlogged = 0;
  Duration LongestUnlogged = absl::ZeroDuration();
  std::array<int, std::size(StoreOutcomeNames)> UnloggedByOutcome{};
  std::shared_ptr<LoopTimers::Subscription> WindowTimer;
  std::shared_ptr<LoopTimers::Subscription> LastingTimer;
};

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_STORELOSSLOG_H
