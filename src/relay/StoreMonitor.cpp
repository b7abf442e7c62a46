#include "relay/StoreMonitor.h"
#include "relay/RelayMetrics.h"
#include "relay/RevisionedStore.h"
#include "runtime/Logger.h"
#include <algorithm>

namespace quetzallead {

/// Interval of the probes while something depends on an answer.
static constexpr Duration ProofInterval = absl::Milliseconds(400);

StoreMonitor::StoreMonitor(RevisionedStore &GivenStore, LoopTimers &GivenTimers,
                           RelayMetrics &GivenMetrics, Duration LapseTime)
    : Store(GivenStore), Timers(GivenTimers), Metrics(GivenMetrics),
      Outages(LapseTime) {}

void StoreMonitor::start() {
  Store.OnServed = [this] { onServed(); };
  Outages.begin(LoopTimers::now());
  check();
}

std::optional<Duration> StoreMonitor::age() const {
  if (ServedHereAt == absl::InfinitePast())
    return std::nullopt;
  return LoopTimers::now() - ServedHereAt;
}

void StoreMonitor::onServed() {
  const TimePoint Now = LoopTimers::now();
  ServedHereAt = Now;
  const TimePoint LastServedAt = Outages.servedAt();
  if (Outages.onServed(Now))
    onReturned(Now, Now - LastServedAt);
  OnServed(Now);
}

void StoreMonitor::onServedElsewhere(Duration Age) {
  const TimePoint Now = LoopTimers::now();
  const TimePoint At = Now - Age;
  const TimePoint LastServedAt = Outages.servedAt();
  if (Outages.onServedElsewhere(At, Now))
    onReturned(At, At - LastServedAt);
  OnServed(At);
}

void StoreMonitor::onReturned(TimePoint At, Duration Away) {
  logEvent(LogLevel::Warning, "store_returned",
           {{"away_ms", absl::ToInt64Milliseconds(Away)}});
  Metrics.storeReturned();
  OnReturned(At);
}

void StoreMonitor::proveFrom(TimePoint Due) {
  ProofTimer.reset();
  if (Due == absl::InfiniteFuture())
    return;
  ProofTimer = Timers.at(std::max(Due, ProbedAt + ProofInterval),
                         [this, Due](TimePoint) {
                           probe();
                           proveFrom(Due);
                         });
}

void StoreMonitor::probe() {
  ProbedAt = LoopTimers::now();
  SendProbe();
}

void StoreMonitor::check() {
  if (Outages.advance(LoopTimers::now()))
    probe();
  CheckTimer = Timers.at(Outages.nextCheck(), [this](TimePoint) { check(); });
}

} // namespace quetzallead
