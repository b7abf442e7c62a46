#include "relay/MemoryGuard.h"
#include "relay/MemoryHold.h"
#include "runtime/Logger.h"
#include <limits>

namespace quetzallead {

/// Shares of the machine's memory. The rest is for the program itself, for what
/// is kept of servers and sheets, for copies that are being made and for the
/// buffers of sockets.
static constexpr double PauseShare = 0.25;
static constexpr double LimitShare = 0.35;
/// Delay from the first pause, or from a check that left memory short, to the
/// next check.
static constexpr Duration CheckInterval = absl::Milliseconds(20);
/// Time after which a pause is pressing.
static constexpr Duration PressingTime = absl::Milliseconds(400);

static std::size_t share(std::size_t Bytes, double Share) {
  if (Bytes == 0)
    return std::numeric_limits<std::size_t>::max();
  return static_cast<std::size_t>(static_cast<double>(Bytes) * Share);
}

MemoryGuard::MemoryGuard(LoopTimers &GivenTimers, std::size_t MachineBytes)
    : Timers(GivenTimers), PauseLimit(share(MachineBytes, PauseShare)),
      Limit(share(MachineBytes, LimitShare)) {}

void MemoryGuard::add(MemoryHold &Hold) {
  Hold.Index = Holds.size();
  Holds.push_back(&Hold);
}

void MemoryGuard::remove(MemoryHold &Hold) {
  Total -= Hold.Held.Bytes;
  Holds[Hold.Index] = Holds.back();
  Holds[Hold.Index]->Index = Hold.Index;
  Holds.pop_back();
}

void MemoryGuard::resize(MemoryHold &Hold, std::size_t Bytes) {
  Total += Bytes;
  Total -= Hold.Held.Bytes;
  Hold.Held.Bytes = Bytes;
  // The caller may be in the middle of its work.
  if (Total >= Limit)
    scheduleCheck(absl::ZeroDuration());
}

bool MemoryGuard::mayRead(const MemoryHold &Hold) const {
  return !isShort() || isSmall(Hold.Held);
}

void MemoryGuard::pause(MemoryHold &Hold) {
  Hold.Paused = true;
  if (PausedSince == absl::InfiniteFuture()) {
    PausedSince = LoopTimers::now();
    logEvent(LogLevel::Warning, "memory_short",
             {{"held_bytes", Total}, {"limit_bytes", Limit}});
  }
  scheduleCheck(CheckInterval);
}

void MemoryGuard::scheduleCheck(Duration Delay) {
  const TimePoint At = LoopTimers::now() + Delay;
  if (CheckAt <= At)
    return;
  CheckAt = At;
  Timer = Timers.at(At, [this](TimePoint Now) {
    CheckAt = absl::InfiniteFuture();
    check(Now);
  });
}

void MemoryGuard::endOne(MemoryNeed Need, TimePoint Now) {
  MemoryHold *Least = nullptr;
  for (MemoryHold *Hold : Holds)
    if (Hold->OnEnd && mayEnd(Hold->Held, Need, Now) &&
        (Least == nullptr || isWorthLess(Hold->Held, Least->Held, Now)))
      Least = Hold;
  if (Least == nullptr)
    return;
  const HeldMemory Ended = Least->Held;
  logEvent(LogLevel::Warning, "memory_freed",
           {{"use", nameOf(MemoryUseNames, Ended.Use)},
            {"bytes", Ended.Bytes},
            {"usual_bytes", Ended.UsualBytes},
            {"held_bytes", Total}});
  if (OnEnded)
    OnEnded(Ended.Use, Ended.Bytes);
  // May destroy the hold.
  const std::function<void()> End = Least->OnEnd;
  End();
}

void MemoryGuard::check(TimePoint Now) {
  const bool Pressing = Total >= Limit || Now - PausedSince >= PressingTime;
  while (isShort()) {
    const std::size_t Before = Total;
    endOne(Pressing ? MemoryNeed::Pressing : MemoryNeed::Reading, Now);
    if (Total >= Before)
      break;
  }
  if (!isShort())
    resumePaused();
  else
    scheduleCheck(CheckInterval);
}

void MemoryGuard::resumePaused() {
  PausedSince = absl::InfiniteFuture();
  // Reading on does not happen at once, so that none is paused again here.
  for (std::size_t I = 0; I < Holds.size(); ++I) {
    MemoryHold &Hold = *Holds[I];
    if (!Hold.Paused)
      continue;
    Hold.Paused = false;
    if (Hold.OnResume)
      Hold.OnResume();
  }
}

} // namespace quetzallead
