#ifndef QUETZALLEAD_RELAY_GRACEFULSTOP_H
#define QUETZALLEAD_RELAY_GRACEFULSTOP_H

#include "relay/LoopTimers.h"
#include "relay/StopPlan.h"
#include <functional>
#include <memory>

namespace quetzallead {

/// Runs the steps of a StopPlan at their times. The callbacks must be set
/// before begin().
class GracefulStop {
public:
  explicit GracefulStop(LoopTimers &Timers);

  /// Closes the connections of callers that have no request in progress.
  std::function<void()> CloseIdle;
  /// Answers the requests that are still in flight, so that none loses its
  /// connection without an answer.
  std::function<void()> AnswerRequests;
  /// Whether no caller is connected and no request is in flight.
  std::function<bool()> IsDrained;
  /// Ends the process. Called once.
  std::function<void()> Exit;

  void begin(Duration GracePeriod);
  bool begun() const { return Plan.StartTime != absl::InfiniteFuture(); }
  const StopPlan &plan() const { return Plan; }

private:
  void advance();

  LoopTimers &Timers;
  StopPlan Plan;
  std::shared_ptr<LoopTimers::Subscription> Timer;
};

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_GRACEFULSTOP_H
