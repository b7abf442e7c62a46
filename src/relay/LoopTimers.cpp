#include "relay/LoopTimers.h"
#include "absl/time/clock.h"
#include <algorithm>
#include <chrono>

namespace quetzallead {

namespace asio = boost::asio;

struct LoopTimers::State {
  explicit State(asio::io_context &Loop) : System(Loop) {}

  asio::steady_timer System;
  std::multimap<TimePoint, Callback> Waiting;
  /// When the system's timer is set to; infinite if it is not.
  TimePoint ArmedFor = absl::InfiniteFuture();
};

class LoopTimers::Subscription {
public:
  Subscription(std::weak_ptr<State> GivenOwner,
               std::multimap<TimePoint, Callback>::iterator GivenPlace)
      : Owner(std::move(GivenOwner)), Place(GivenPlace) {}
  ~Subscription() {
    std::shared_ptr<State> S = Owner.lock();
    if (S != nullptr && !*Ran)
      S->Waiting.erase(Place);
  }
  Subscription(const Subscription &) = delete;
  Subscription &operator=(const Subscription &) = delete;

  /// Set once the callback has been taken out of the queue.
  std::shared_ptr<bool> Ran = std::make_shared<bool>(false);

private:
  std::weak_ptr<State> Owner;
  std::multimap<TimePoint, Callback>::iterator Place;
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

void LoopTimers::arm(const std::shared_ptr<State> &S) {
  if (S->Waiting.empty())
    return;
  const TimePoint Due = S->Waiting.begin()->first;
  if (Due >= S->ArmedFor)
    return;
  S->ArmedFor = Due;
  const Duration Left = std::max(absl::ZeroDuration(), Due - now());
  S->System.expires_after(absl::ToChronoNanoseconds(Left));
  std::weak_ptr<State> Weak = S;
  S->System.async_wait([Weak](const boost::system::error_code &Fault) {
    std::shared_ptr<State> Owner = Weak.lock();
    if (Owner == nullptr || Fault)
      return;
    Owner->ArmedFor = absl::InfiniteFuture();
    const TimePoint Now = now();
    while (!Owner->Waiting.empty() && Owner->Waiting.begin()->first <= Now) {
      Callback Fn = std::move(Owner->Waiting.begin()->second);
      Owner->Waiting.erase(Owner->Waiting.begin());
      Fn(Now);
    }
    arm(Owner);
  });
}

std::shared_ptr<LoopTimers::Subscription> LoopTimers::at(TimePoint When,
                                                         Callback Fn) {
  auto Place = Shared->Waiting.emplace(When, Callback());
  auto Sub = std::make_shared<Subscription>(Shared, Place);
  Place->second = [Ran = Sub->Ran, Fn = std::move(Fn)](TimePoint Now) {
    *Ran = true;
    Fn(Now);
  };
  arm(Shared);
  return Sub;
}

} // namespace quetzallead
