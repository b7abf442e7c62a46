#ifndef QUETZALLEAD_RELAY_MEMORYHOLD_H
#define QUETZALLEAD_RELAY_MEMORYHOLD_H

#include "core/relay/HeldMemory.h"
#include <functional>

namespace quetzallead {

class MemoryGuard;

/// What one connection or request holds, in the account of a MemoryGuard. Does
/// nothing without one.
class MemoryHold {
public:
  /// \p Guard may be null; it must outlive this object otherwise.
  MemoryHold(MemoryGuard *Guard, MemoryUse Use);
  ~MemoryHold();
  MemoryHold(const MemoryHold &) = delete;
  MemoryHold &operator=(const MemoryHold &) = delete;

  /// Ends the connection, with a true answer where there can be one. May be
  /// empty if the use is never ended.
  std::function<void()> OnEnd;
  /// Goes on reading; called once after pause().
  std::function<void()> OnResume;

  void setUse(MemoryUse Use) { Held.Use = Use; }
  void setUsualBytes(std::size_t Bytes) { Held.UsualBytes = Bytes; }
  void resize(std::size_t Bytes);
  /// The peer has sent or taken bytes.
  void noteProgress(TimePoint Now) { Held.ProgressAt = Now; }
  /// Whether more may be read now.
  bool mayRead() const;
  /// Calls OnResume when more may be read.
  void pause();
  const HeldMemory &held() const { return Held; }

private:
  friend class MemoryGuard;

  MemoryGuard *Guard;
  HeldMemory Held;
  /// Position in MemoryGuard::Holds.
  std::size_t Index = 0;
  bool Paused = false;
};

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_MEMORYHOLD_H
