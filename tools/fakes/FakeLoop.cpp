#include "fakes/FakeLoop.h"
#include "absl/container/flat_hash_map.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <csignal>
#include <utility>

namespace quetzallead {
namespace {

using SteadyClock = std::chrono::steady_clock;

class AsioLoop final : public FakeLoop {
public:
  TimePoint now() const override {
    return WallStart + absl::FromChrono(SteadyClock::now() - SteadyStart);
  }

  TimerId after(Duration Delay, Task Fn) override {
    const TimerId Id = NextTimer++;
    auto Timer = std::make_unique<boost::asio::steady_timer>(Context);
    Timer->expires_after(absl::ToChronoNanoseconds(Delay));
    Timer->async_wait([this, Id, Fn = std::move(Fn)](const auto &Failure) {
      Timers.erase(Id);
      if (!Failure)
        Fn();
    });
    Timers.emplace(Id, std::move(Timer));
    return Id;
  }

  void cancel(TimerId Id) override { Timers.erase(Id); }

  void run() override {
    boost::asio::signal_set Signals(Context, SIGTERM, SIGINT);
    Signals.async_wait([this](const auto &, int) { Context.stop(); });
    Context.run();
  }

  void stop() override { Context.stop(); }

  boost::asio::io_context &context() override { return Context; }

private:
  const TimePoint WallStart = absl::Now();
  const SteadyClock::time_point SteadyStart = SteadyClock::now();
  boost::asio::io_context Context{1};
  TimerId NextTimer = 1;
  absl::flat_hash_map<TimerId, std::unique_ptr<boost::asio::steady_timer>>
      Timers;
};

} // namespace

std::unique_ptr<FakeLoop> FakeLoop::make() {
  return std::make_unique<AsioLoop>();
}

} // namespace quetzallead
