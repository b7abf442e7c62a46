#ifndef QUETZALLEAD_TESTS_TRANSPORT_INBOX_H
#define QUETZALLEAD_TESTS_TRANSPORT_INBOX_H

#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>

namespace quetzallead {

/// A queue through which callbacks on other threads hand values to a test.
template <typename T> class Inbox {
public:
  void put(T Value) {
    std::lock_guard<std::mutex> Guard(Lock);
    Values.push_back(std::move(Value));
    Arrived.notify_all();
  }

  /// The next value; nothing if none comes within a generous limit.
  std::optional<T> next() {
    std::unique_lock<std::mutex> Guard(Lock);
    if (!Arrived.wait_for(Guard, WaitLimit, [&] { return !Values.empty(); }))
      return std::nullopt;
    std::optional<T> Out(std::move(Values.front()));
    Values.pop_front();
    return Out;
  }

  std::size_t size() {
    std::lock_guard<std::mutex> Guard(Lock);
    return Values.size();
  }

private:
  static constexpr std::chrono::seconds WaitLimit{20};

  std::mutex Lock;
  std::condition_variable Arrived;
  std::deque<T> Values;
};

} // namespace quetzallead

#endif // QUETZALLEAD_TESTS_TRANSPORT_INBOX_H
