#ifndef QUETZALLEAD_RUNTIME_TIMERSERVICE_H
#define QUETZALLEAD_RUNTIME_TIMERSERVICE_H

#include "quetzallead/Time.h"
#include <functional>
#include <memory>

namespace quetzallead {

/// The process's only source of time. Parts subscribe to it instead of
/// sleeping or reading a clock.
class TimerService {
public:
  /// Ends its subscription when destroyed; the callback does not run after.
  /// Destruction waits for a callback that is running, unless it happens inside
  /// that callback; so do not destroy one while holding a lock that its
  /// callback takes. May outlive the service.
  class Subscription;
  using Callback = std::function<void(TimePoint Now)>;

  static std::unique_ptr<TimerService> make();
  virtual ~TimerService() = default;

  /// Now, on the anchored monotonic clock.
  virtual TimePoint now() const = 0;
  /// Calls \p Fn every \p Period, on the timer thread.
  virtual std::shared_ptr<Subscription> every(Duration Period, Callback Fn) = 0;
  /// Calls \p Fn once at \p When, or at once if it has passed, on the timer
  /// thread. Cheap to cancel: a request's deadline usually is.
  virtual std::shared_ptr<Subscription> at(TimePoint When, Callback Fn) = 0;
};

} // namespace quetzallead

#endif // QUETZALLEAD_RUNTIME_TIMERSERVICE_H
