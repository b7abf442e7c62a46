#include "relay/LoopTimers.h"
#include "absl/time/clock.h"
#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>

namespace quetzallead {

namespace asio = boost::asio;

struct LoopTimers::State {
  explicit State(asio::io_context &Loop) : SystemTimer(Loop) {}

  asio::steady_timer SystemTimer;
  std::multimap<TimePoint, Callback> Pending;
  /// Expiry of the system timer; infinite if it is not set.
  TimePoint NextWakeup = absl::InfiniteFuture();
};

class LoopTimers::Subscription {
public:
  Subscription(std::weak_ptr<State> GivenOwner,
               std::multimap<TimePoint, Callback>::iterator GivenPosition)
      : Owner(std::move(GivenOwner)), Position(GivenPosition) {}
  ~Subscription() {
    std::shared_ptr<State> S = Owner.lock();
    if (S != nullptr && !*Ran)
      S->Pending.erase(Position);
  }
  Subscription(const Subscription &) = delete;
  Subscription &operator=(const Subscription &) = delete;

  /// True once the callback has started; its queue entry no longer exists.
  std::shared_ptr<bool> Ran = std::make_shared<bool>(false);

private:
  std::weak_ptr<State> Owner;
  std::multimap<TimePoint, Callback>::iterator Position;
};

LoopTimers::LoopTimers(asio::io_context &Loop)
    : Shared(std::make_shared<State>(Loop)) {}

LoopTimers::~LoopTimers() = default;

TimePoint LoopTimers::now() {
  using Clock = std::chrono::steady_clock;
  static const TimePoint WallAtStart = absl::Now();
  static const Clock::time_point SteadyAtStart = Clock::now();
  return WallAtStart + absl::FromChrono(Clock::now() - SteadyAtStart);
}

void LoopTimers::scheduleWakeup(const std::shared_ptr<State> &S) {
  if (S->Pending.empty())
    return;
  const TimePoint Due = S->Pending.begin()->first;
  if (Due >= S->NextWakeup)
    return;
  S->NextWakeup = Due;
  const Duration Delay = std::max(absl::ZeroDuration(), Due - now());
  S->SystemTimer.expires_after(absl::ToChronoNanoseconds(Delay));
  std::weak_ptr<State> Weak = S;
  S->SystemTimer.async_wait([Weak](const boost::system::error_code &EC) {
    std::shared_ptr<State> Owner = Weak.lock();
    if (Owner == nullptr || EC)
      return;
    Owner->NextWakeup = absl::InfiniteFuture();
    const TimePoint Now = now();
    while (!Owner->Pending.empty() && Owner->Pending.begin()->first <= Now) {
      Callback Fn = std::move(Owner->Pending.begin()->second);
      Owner->Pending.erase(Owner->Pending.begin());
      Fn(Now);
    }
    scheduleWakeup(Owner);
  });
}

std::shared_ptr<LoopTimers::Subscription> LoopTimers::at(TimePoint When,
                                                         Callback Fn) {
  auto Position = Shared->Pending.emplace(When, Callback());
  auto NewSubscription = std::make_shared<Subscription>(Shared, Position);
  Position->second = [Ran = NewSubscription->Ran,
                      Fn = std::move(Fn)](TimePoint Now) {
    *Ran = true;
    Fn(Now);
  };
  scheduleWakeup(Shared);
  return NewSubscription;
}

/// Runs of the handler queue until what a poll has found is handled: the poll
/// comes after the first, its handlers come before the third.
static constexpr int RunsToHandlePoll = 3;

static void postRepeatedly(const asio::steady_timer::executor_type &Loop,
                           int Times, LoopTimers::Callback Fn) {
  asio::post(Loop, [Loop, Times, Fn = std::move(Fn)]() mutable {
    if (Times == 1)
      Fn(LoopTimers::now());
    else
      postRepeatedly(Loop, Times - 1, std::move(Fn));
  });
}

void LoopTimers::afterReceived(Callback Fn) {
  postRepeatedly(Shared->SystemTimer.get_executor(), RunsToHandlePoll,
                 std::move(Fn));
}

} // namespace quetzallead
