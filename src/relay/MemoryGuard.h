#ifndef QUETZALLEAD_RELAY_MEMORYGUARD_H
#define QUETZALLEAD_RELAY_MEMORYGUARD_H

#include "core/relay/HeldMemory.h"
#include "relay/LoopTimers.h"
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace quetzallead {

class MemoryHold;

/// The memory that this process holds for others: requests of callers, answers
/// of servers, messages of instances and of the store.
///
/// While it is short, connections with large messages stop reading. If that
/// does not suffice, messages are ended in the order of MemoryRank until the
/// others can be read on. Small messages are not affected.
class MemoryGuard {
public:
  /// \p MachineBytes is the memory of the machine; nothing is limited if it is
  /// 0.
  MemoryGuard(LoopTimers &Timers, std::size_t MachineBytes);

  std::size_t heldBytes() const { return Total; }
  /// Bytes that can be held at all.
  std::size_t limit() const { return Limit; }
  /// Bytes that one message may have.
  std::size_t messageLimit() const { return Limit / MessageShare; }
  /// Called when what is held for \p Use has been ended; may be empty.
  std::function<void(MemoryUse Use, std::size_t Bytes)> OnEnded;

private:
  friend class MemoryHold;

  /// Share of the limit that one message may take.
  static constexpr std::size_t MessageShare = 4;

  void add(MemoryHold &Hold);
  void remove(MemoryHold &Hold);
  void resize(MemoryHold &Hold, std::size_t Bytes);
  bool mayRead(const MemoryHold &Hold) const;
  void pause(MemoryHold &Hold);
  bool isShort() const { return Total >= PauseLimit; }
  void scheduleCheck(Duration Delay);
  /// Ends messages while memory is short, and resumes paused ones otherwise.
  void check(TimePoint Now);
  void endOne(MemoryNeed Need, TimePoint Now);
  void resumePaused();

  LoopTimers &Timers;
  /// Bytes from which large messages are not read on.
  std::size_t PauseLimit;
  /// Bytes from which messages are ended at once.
  std::size_t Limit;
  std::size_t Total = 0;
  std::vector<MemoryHold *> Holds;
  /// When the first of those that are paused was; infinite if none is.
  TimePoint PausedSince = absl::InfiniteFuture();
  std::shared_ptr<LoopTimers::Subscription> Timer;
  TimePoint CheckAt = absl::InfiniteFuture();
};

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_MEMORYGUARD_H
