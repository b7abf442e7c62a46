#include "relay/PrefixWatcher.h"
#include <algorithm>
#include <utility>

namespace quetzallead {

/// Backoff after the first failure, doubled for each further one. The maximum
/// is small compared with the seconds within which a change must take effect.
static constexpr Duration InitialBackoff = absl::Milliseconds(50);
static constexpr Duration MaxBackoff = absl::Milliseconds(800);
static constexpr int MaxBackoffDoublings = 6;
/// Time within which the store's response arrives once a watch has ended.
static constexpr Duration WatchResponseMargin = absl::Milliseconds(600);
/// Time after which a read is repeated on another connection, since its
/// response may be lost. Doubled with each repetition.
static constexpr Duration ReadPatience = absl::Milliseconds(500);
static constexpr int MaxPatienceDoublings = 3;
static constexpr Duration MinWatchWait = absl::Milliseconds(100);
/// Longest delay of the snapshot read in a new era.
static constexpr Duration MaxEraDelay = absl::Milliseconds(200);

PrefixWatcher::PrefixWatcher(RevisionedStore &GivenStore,
                             LoopTimers &GivenTimers,
                             PrefixWatchOptions GivenOptions,
                             PrefixWatchHandlers GivenHandlers)
    : Store(GivenStore), Timers(GivenTimers), Options(std::move(GivenOptions)),
      Handlers(std::move(GivenHandlers)), Engine(Options.Seed) {}

void PrefixWatcher::start() {
  CallSeries = 1;
  readSnapshot();
}

void PrefixWatcher::schedule(Duration Delay, void (PrefixWatcher::*Call)()) {
  Timer = Timers.at(LoopTimers::now() + Delay,
                    [this, Call](TimePoint) { (this->*Call)(); });
}

void PrefixWatcher::readSnapshot() {
  BackingOff = false;
  SnapshotItems.clear();
  FirstPage = true;
  DelayedFor = absl::ZeroDuration();
  SnapshotBegunAt = LoopTimers::now();
  readPage(std::string());
}

void PrefixWatcher::readPage(const std::string &AfterKey) {
  const int Doublings = std::min(UnansweredReads, MaxPatienceDoublings);
  schedule(ReadPatience * (1 << Doublings), &PrefixWatcher::repeatRead);
  Store.read(Options.Prefix, AfterKey, false,
             [this, Series = CallSeries](StorePage Page) {
               if (Series == CallSeries)
                 onPage(std::move(Page));
             });
}

void PrefixWatcher::repeatRead() {
  ++UnansweredReads;
  reportUnavailable(StoreOutcome::Unknown);
  // The response to the earlier read is ignored.
  ++CallSeries;
  readSnapshot();
}

void PrefixWatcher::onNewEra() {
  if (CallSeries == 0)
    return;
  beginNewEra();
}

void PrefixWatcher::beginNewEra() {
  ++CallSeries;
  NewEra = SnapshotReceived;
  EraSeenAt = LoopTimers::now();
  // All instances learn of it at about the same time.
  const double Fraction = static_cast<double>(Engine()) / 4294967296.0;
  schedule(MaxEraDelay * Fraction, &PrefixWatcher::readSnapshot);
}

void PrefixWatcher::onStoreReturned() {
  if (!BackingOff)
    return;
  ConsecutiveFailures = 0;
  backOff();
}

void PrefixWatcher::backOff() {
  BackingOff = true;
  const int Doublings = std::min(ConsecutiveFailures++, MaxBackoffDoublings);
  const Duration Backoff = std::min(
      MaxBackoff, InitialBackoff * static_cast<double>(1 << Doublings));
  const double JitterFactor =
      0.5 + 0.5 * (static_cast<double>(Engine()) / 4294967296.0);
  schedule(Backoff * JitterFactor, &PrefixWatcher::readSnapshot);
}

void PrefixWatcher::onResponse() {
  ConsecutiveFailures = 0;
  UnansweredReads = 0;
  LastResponseAt = LoopTimers::now();
  if (!StoreUnavailable)
    return;
  StoreUnavailable = false;
  Handlers.OnAvailable();
}

void PrefixWatcher::reportCurrent(TimePoint AsOf) {
  if (Handlers.OnCurrent)
    Handlers.OnCurrent(AsOf);
}

void PrefixWatcher::reportUnavailable(StoreOutcome Outcome) {
  if (StoreUnavailable)
    return;
  StoreUnavailable = true;
  Handlers.OnUnavailable(Outcome);
}

void PrefixWatcher::onFailure(StoreOutcome Outcome) {
  reportUnavailable(Outcome);
  // The changes that a failed watch missed may be in history that the store
  // has compacted, and a new watch would then wait for the next change. Only a
  // snapshot read is sure to return them.
  backOff();
}

void PrefixWatcher::onPage(StorePage Page) {
  Timer.reset();
  if (Page.Outcome != StoreOutcome::Done) {
    onFailure(Page.Outcome);
    return;
  }
  onResponse();
  // Revisions only fall when the store has come back from a copy, also if it
  // does not state its era.
  if (FirstPage && SnapshotReceived && Page.Revision < Revision) {
    NewEra = true;
    EraSeenAt = LoopTimers::now();
  }
  if (FirstPage)
    Revision = Page.Revision;
  FirstPage = false;
  std::move(Page.Items.begin(), Page.Items.end(),
            std::back_inserter(SnapshotItems));
  if (Page.HasMore && !SnapshotItems.empty()) {
    readPage(SnapshotItems.back().Key);
    return;
  }
  SnapshotReceived = true;
  if (NewEra && Handlers.OnNewEra)
    Handlers.OnNewEra(EraSeenAt);
  NewEra = false;
  Handlers.OnSnapshot(SnapshotItems, Revision);
  SnapshotItems.clear();
  reportCurrent(SnapshotBegunAt);
  FirstWatch = true;
  watch();
}

void PrefixWatcher::watch() {
  // Changes during the batch delay have not been heard of either.
  const Duration Delayed = std::exchange(DelayedFor, absl::ZeroDuration());
  const Duration LongestWait = std::max(
      MinWatchWait, Options.MaxSilence - WatchResponseMargin - Delayed);
  const Duration Wait =
      FirstWatch ? std::min(Options.FirstWatchWait, LongestWait) : LongestWait;
  WatchSentAt = LoopTimers::now();
  WatchWait = Wait;
  Store.watch(Options.Prefix, Revision, Wait, Wait + WatchResponseMargin,
              [this, Series = CallSeries](const StorePage &Page) {
                if (Series == CallSeries)
                  onWatch(Page);
              });
}

void PrefixWatcher::onWatch(const StorePage &Page) {
  if (Page.Outcome == StoreOutcome::HistoryCompacted) {
    onResponse();
    readSnapshot();
    return;
  }
  if (Page.Outcome != StoreOutcome::Done) {
    onFailure(Page.Outcome);
    return;
  }
  onResponse();
  FirstWatch = false;
  if (Page.Revision < Revision) {
    beginNewEra();
    return;
  }
  Revision = Page.Revision;
  if (Page.Items.empty()) {
    reportCurrent(std::min(LoopTimers::now(), WatchSentAt + WatchWait));
    watch();
    return;
  }
  Handlers.OnChanges(Page.Items);
  reportCurrent(WatchSentAt);
  DelayedFor = Options.BatchDelay;
  if (Options.BatchDelay > absl::ZeroDuration())
    schedule(Options.BatchDelay, &PrefixWatcher::watch);
  else
    watch();
}

} // namespace quetzallead
