#ifndef QUETZALLEAD_TOOLS_LOAD_COUNTDOWN_H
#define QUETZALLEAD_TOOLS_LOAD_COUNTDOWN_H

#include <condition_variable>
#include <mutex>

namespace quetzallead {

/// Lets one thread wait until a number of events have happened.
class CountDown {
public:
  explicit CountDown(int Events) : Left(Events) {}

  void decrement() {
    std::lock_guard<std::mutex> Guard(Lock);
    if (--Left <= 0)
      Reached.notify_all();
  }
  void wait() {
    std::unique_lock<std::mutex> Guard(Lock);
    Reached.wait(Guard, [this] { return Left <= 0; });
  }

private:
  std::mutex Lock;
  std::condition_variable Reached;
  int Left;
};

} // namespace quetzallead

#endif // QUETZALLEAD_TOOLS_LOAD_COUNTDOWN_H
