#include "relay/StoreLossLog.h"
#include "absl/strings/str_cat.h"
#include "relay/RelayMetrics.h"
#include "runtime/Logger.h"
#include <algorithm>

namespace quetzallead {

/// Losses that are logged one by one in a window, unless the one before had
/// more.
static constexpr int MaxLosses = 3;
/// A loss of this length is logged in any case.
static constexpr Duration LastingLoss = absl::Seconds(1);

StoreLossLog::StoreLossLog(LoopTimers &GivenTimers, RelayMetrics &GivenMetrics,
                           const char *GivenWhat, Duration GivenWindow)
    : Timers(GivenTimers), Metrics(GivenMetrics), What(GivenWhat),
      Window(GivenWindow), LinesLeft(MaxLosses) {}

void StoreLossLog::onLost(StoreOutcome Outcome, TimePoint LastResponseAt) {
  const TimePoint Now = LoopTimers::now();
  Metrics.storeLost(What, Outcome);
  Current = Loss{Outcome, Now, LastResponseAt};
  if (WindowTimer == nullptr)
    WindowTimer = Timers.at(Now + Window, [this](TimePoint) { endWindow(); });
  if (LinesLeft > 0) {
    --LinesLeft;
    logLoss();
    return;
  }
  LastingTimer = Timers.at(Now + LastingLoss, [this](TimePoint) { logLoss(); });
}

void StoreLossLog::logLoss() {
  const TimePoint Since = Current->LastResponseAt;
  const std::int64_t AgeMs =
      Since == absl::InfinitePast()
          ? -1
          : absl::ToInt64Milliseconds(LoopTimers::now() - Since);
  Current->Logged = true;
  logEvent(LogLevel::Warning, "store_lost",
           {{"following", What},
            {"outcome", nameOf(StoreOutcomeNames, Current->Outcome)},
            {"age_ms", AgeMs}});
}

void StoreLossLog::onBack() {
  if (!Current)
    return;
  LastingTimer.reset();
  const Loss Ended = *Current;
  Current.reset();
  if (Ended.Logged) {
    logEvent(LogLevel::Info, "store_back", {{"following", What}});
    return;
  }
  ++Unlogged;
  ++UnloggedByOutcome[static_cast<std::size_t>(Ended.Outcome)];
  LongestUnlogged = std::max(LongestUnlogged, LoopTimers::now() - Ended.At);
}

void StoreLossLog::endWindow() {
  WindowTimer.reset();
  LinesLeft = MaxLosses;
  if (Unlogged == 0)
    return;
  std::string Outcomes;
  for (const auto &[Outcome, Name] : StoreOutcomeNames) {
    const int Count = UnloggedByOutcome[static_cast<std::size_t>(Outcome)];
    if (Count > 0)
      absl::StrAppend(&Outcomes, Outcomes.empty() ? "" : ",", Name, ":", Count);
  }
  logEvent(LogLevel::Warning, "store_losses",
           {{"following", What},
            {"count", Unlogged},
            {"outcomes", Outcomes},
            {"longest_ms", absl::ToInt64Milliseconds(LongestUnlogged)}});
  // The next window is expected to be like this one.
  LinesLeft = 0;
  Unlogged = 0;
  LongestUnlogged = absl::ZeroDuration();
  UnloggedByOutcome.fill(0);
  WindowTimer =
      Timers.at(LoopTimers::now() + Window, [this](TimePoint) { endWindow(); });
}

} // namespace quetzallead
