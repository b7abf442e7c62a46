#include "core/relay/HeldMemory.h"
#include <algorithm>

namespace quetzallead {

static constexpr std::size_t KiB = 1024;
/// What holds less is neither paused nor ended.
static constexpr std::size_t SmallBytes = 48 * KiB;
/// An answer of more than this multiple of the usual bytes is overgrown.
static constexpr std::size_t OvergrownRatio = 4;
/// Usual bytes that are assumed at least, and for routes without answers.
static constexpr std::size_t LeastUsualBytes = 64 * KiB;
static constexpr std::size_t AssumedUsualBytes = 256 * KiB;
/// Time without progress after which a peer counts as stalled.
static constexpr Duration StallTime = absl::Milliseconds(700);

bool isSmall(const HeldMemory &Held) { return Held.Bytes < SmallBytes; }

MemoryRank rankOf(const HeldMemory &Held, TimePoint Now) {
  if (isSmall(Held))
    return MemoryRank::Kept;
  const bool Stalls = Now - Held.ProgressAt >= StallTime;
  switch (Held.Use) {
  case MemoryUse::AbandonedAnswer:
    return MemoryRank::Abandoned;
  case MemoryUse::Answer: {
    const std::size_t Usual = Held.UsualBytes == 0
                                  ? AssumedUsualBytes
                                  : std::max(Held.UsualBytes, LeastUsualBytes);
    return Held.Bytes > Usual * OvergrownRatio ? MemoryRank::Overgrown
                                               : MemoryRank::Wanted;
  }
  case MemoryUse::CallerBody:
  case MemoryUse::UnreadResponse:
    return Stalls ? MemoryRank::Stalled : MemoryRank::Wanted;
  case MemoryUse::Request:
  case MemoryUse::Internal:
    break;
  }
  return MemoryRank::Kept;
}

bool isWorthLess(const HeldMemory &A, const HeldMemory &B, TimePoint Now) {
  const MemoryRank RankA = rankOf(A, Now);
  const MemoryRank RankB = rankOf(B, Now);
  if (RankA != RankB)
    return RankA < RankB;
  if (RankA == MemoryRank::Stalled && A.ProgressAt != B.ProgressAt)
    return A.ProgressAt < B.ProgressAt;
  return A.Bytes > B.Bytes;
}

bool mayEnd(const HeldMemory &Held, MemoryNeed Need, TimePoint Now) {
  const MemoryRank Rank = rankOf(Held, Now);
  return Rank < MemoryRank::Wanted ||
         (Rank == MemoryRank::Wanted && Need == MemoryNeed::Pressing);
}

} // namespace quetzallead
