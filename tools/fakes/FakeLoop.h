#ifndef QUETZALLEAD_TOOLS_FAKES_FAKELOOP_H
#define QUETZALLEAD_TOOLS_FAKES_FAKELOOP_H

#include "quetzallead/Time.h"
#include <cstdint>
#include <functional>
#include <memory>

namespace boost {
namespace asio {
class io_context;
} // namespace asio
} // namespace boost

namespace quetzallead {

/// The event loop of a fake. Everything in a fake runs on the thread that
/// called run(), so that its parts need no locks.
class FakeLoop {
public:
  using Task = std::function<void()>;
  using TimerId = std::uint64_t;

  static std::unique_ptr<FakeLoop> make();
  virtual ~FakeLoop() = default;

  /// Now, on a monotonic clock anchored to wall time.
  virtual TimePoint now() const = 0;
  /// Calls \p Fn on the loop after \p Delay.
  virtual TimerId after(Duration Delay, Task Fn) = 0;
  /// Drops a timer; harmless after it fired.
  virtual void cancel(TimerId Id) = 0;
  /// Serves until stop(), SIGTERM or SIGINT.
  virtual void run() = 0;
  virtual void stop() = 0;
  virtual boost::asio::io_context &context() = 0;
};

} // namespace quetzallead

#endif // QUETZALLEAD_TOOLS_FAKES_FAKELOOP_H
