#ifndef QUETZALLEAD_RELAY_LOOPTIMERS_H
#define QUETZALLEAD_RELAY_LOOPTIMERS_H

#include "quetzallead/Time.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>

namespace quetzallead {

/// One-shot timers whose callbacks run on an event loop. All subscriptions
/// share one system timer. Not thread-safe.
class LoopTimers {
public:
  using Callback = std::function<void(TimePoint Now)>;
  /// Cancels the callback when destroyed.
  class Subscription;

  explicit LoopTimers(boost::asio::io_context &Loop);
  ~LoopTimers();

  /// The current time on a steady clock that is set to the wall-clock time at
  /// its first use; later wall-clock steps do not affect it.
  static TimePoint now();
  /// Calls \p Fn once at \p When, unless the subscription is destroyed before.
  std::shared_ptr<Subscription> at(TimePoint When, Callback Fn);
  /// Calls \p Fn once the loop has handled all that sockets have received by
  /// now.
  void afterReceived(Callback Fn);

private:
  struct State;
  static void scheduleWakeup(const std::shared_ptr<State> &S);

  std::shared_ptr<State> Shared;
};

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_LOOPTIMERS_H
