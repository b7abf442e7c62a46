#ifndef QUETZALLEAD_DAEMON_DRAINGATE_H
#define QUETZALLEAD_DAEMON_DRAINGATE_H

#include <atomic>
#include <cstdint>

namespace quetzallead {

/// Counts requests in progress and refuses new ones beyond a limit or while
/// the instance drains. Thread-safe.
class DrainGate {
public:
  enum class Entry { Admitted, Draining, Full };

  explicit DrainGate(int Most) : Limit(Most) {}

  /// An admitted request must leave().
  Entry enter() {
    if (Draining.load(std::memory_order_acquire))
      return Entry::Draining;
    if (Active.fetch_add(1, std::memory_order_acq_rel) >= Limit) {
      Active.fetch_sub(1, std::memory_order_acq_rel);
      return Entry::Full;
    }
    return Entry::Admitted;
  }
  void leave() {
    Active.fetch_sub(1, std::memory_order_acq_rel);
    if (Draining.load(std::memory_order_acquire))
      FinishedInDrain.fetch_add(1, std::memory_order_relaxed);
  }
  void startDraining() { Draining.store(true, std::memory_order_release); }
  bool draining() const { return Draining.load(std::memory_order_acquire); }
  int active() const { return Active.load(std::memory_order_acquire); }
  /// Requests that ended after draining began.
  std::int64_t finishedInDrain() const { return FinishedInDrain.load(); }

private:
  const int Limit;
  std::atomic<int> Active{0};
  std::atomic<bool> Draining{false};
  std::atomic<std::int64_t> FinishedInDrain{0};
};

} // namespace quetzallead

#endif // QUETZALLEAD_DAEMON_DRAINGATE_H
