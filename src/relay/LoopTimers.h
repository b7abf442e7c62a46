#ifndef QUETZALLEAD_RELAY_LOOPTIMERS_H
#define QUETZALLEAD_RELAY_LOOPTIMERS_H

#include "quetzallead/Time.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>

namespace quetzallead {

/// The timer service of an event loop: parts subscribe to it, and it runs
/// their callbacks on the loop. All subscriptions share one timer of the
/// system. Not thread-safe.
class LoopTimers {
public:
  using Callback = std::function<void(TimePoint Now)>;
  /// Ends its subscription when destroyed.
  class Subscription;

  explicit LoopTimers(boost::asio::io_context &Loop);
  ~LoopTimers();

  /// Now, on a clock that is anchored to the time of day at start and then
  /// only follows the steady clock.
  static TimePoint now();
  /// Calls \p Fn once at \p When.
  std::shared_ptr<Subscription> at(TimePoint When, Callback Fn);

private:
  struct State;
  static void arm(const std::shared_ptr<State> &S);

  std::shared_ptr<State> Shared;
};

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_LOOPTIMERS_H
