#ifndef QUETZALLEAD_RELAY_LOOPSTEPS_H
#define QUETZALLEAD_RELAY_LOOPSTEPS_H

#include "quetzallead/NameTable.h"
#include "quetzallead/Time.h"
#include <functional>

namespace quetzallead {

/// What a step of the loop works on.
enum class LoopTask {
  Request,   ///< A request is matched to a route and its attempts are sent.
  Sheet,     ///< A sheet is taken or sent.
  Servers,   ///< Changes of backend servers are applied.
  Instances, ///< Changes of instances are applied.
  Metrics,   ///< Metrics are written.
};

inline constexpr NamedValue<LoopTask> LoopTaskNames[] = {
    {LoopTask::Request, "request"}, {LoopTask::Sheet, "sheet"},
    {LoopTask::Servers, "servers"}, {LoopTask::Instances, "instances"},
    {LoopTask::Metrics, "metrics"},
};

/// Reports the steps of the event loop that take long: no other request is
/// served meanwhile.
class LoopSteps {
public:
  /// Time of a step that is not reported.
  static constexpr Duration MaxStep = absl::Milliseconds(5);

  /// Lasts from begin() until it is destroyed.
  class Step {
  public:
    Step(const LoopSteps &GivenSteps, LoopTask GivenTask);
    ~Step();
    Step(const Step &) = delete;
    Step &operator=(const Step &) = delete;

  private:
    const LoopSteps &Steps;
    const LoopTask Task;
    const TimePoint Begun;
  };

  /// Called after each long step; may be empty.
  std::function<void(LoopTask Task, Duration Time)> OnLongStep;
  Step begin(LoopTask Task) const { return Step(*this, Task); }
};

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_LOOPSTEPS_H
