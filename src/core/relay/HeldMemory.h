#ifndef QUETZALLEAD_CORE_RELAY_HELDMEMORY_H
#define QUETZALLEAD_CORE_RELAY_HELDMEMORY_H

#include "core/relay/MemoryUse.h"
#include "quetzallead/Time.h"
#include <cstddef>

namespace quetzallead {

/// Bytes that are held for one connection or request.
struct HeldMemory {
  MemoryUse Use = MemoryUse::Request;
  std::size_t Bytes = 0;
  /// Bytes that an answer of its route usually has; 0 if unknown.
  std::size_t UsualBytes = 0;
  /// When the peer last sent or took bytes.
  TimePoint ProgressAt = absl::InfinitePast();
};

/// How urgently memory is needed.
enum class MemoryNeed {
  Reading, ///< Large messages are not read on until memory is free.
  Pressing ///< They have waited for long, or more is held than may be.
};

/// Whether \p Held may grow although memory is short: small messages go on.
bool isSmall(const HeldMemory &Held);

/// Order in which what is held is ended while memory is short.
enum class MemoryRank {
  Abandoned, ///< No caller waits for it.
  Overgrown, ///< An answer that is far larger than its route usually gets.
  Stalled,   ///< Its peer has sent or taken nothing for a while.
  Wanted,    ///< Of use; ended only if the need is pressing.
  Kept,      ///< Never ended.
};

MemoryRank rankOf(const HeldMemory &Held, TimePoint Now);

/// Whether \p A is to be ended rather than \p B.
bool isWorthLess(const HeldMemory &A, const HeldMemory &B, TimePoint Now);

/// Whether \p Held may be ended at \p Need.
bool mayEnd(const HeldMemory &Held, MemoryNeed Need, TimePoint Now);

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_HELDMEMORY_H
