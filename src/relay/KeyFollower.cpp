#include "relay/KeyFollower.h"
#include <algorithm>

namespace quetzallead {

/// Backoff after the first failure, doubled for each further one. The maximum
/// is small compared with the seconds within which a change must take effect.
static constexpr Duration InitialBackoff = absl::Milliseconds(50);
static constexpr Duration MaxBackoff = absl::Milliseconds(800);
static constexpr int MaxBackoffDoublings = 6;

KeyFollower::KeyFollower(RevisionedStore &GivenStore, LoopTimers &GivenTimers,
                         FollowOptions GivenOptions,
                         FollowHandlers GivenHandlers)
    : Store(GivenStore), Timers(GivenTimers), Options(std::move(GivenOptions)),
      Handlers(std::move(GivenHandlers)), Engine(Options.Seed) {}

void KeyFollower::start() { readSnapshot(); }

void KeyFollower::schedule(Duration Delay, void (KeyFollower::*Call)()) {
  Timer = Timers.at(LoopTimers::now() + Delay,
                    [this, Call](TimePoint) { (this->*Call)(); });
}

void KeyFollower::readSnapshot() {
  SnapshotItems.clear();
  FirstPage = true;
  readPage(std::string());
}

void KeyFollower::readPage(const std::string &AfterKey) {
  Store.read(Options.Prefix, AfterKey, false,
             [this](StorePage Page) { onPage(std::move(Page)); });
}

void KeyFollower::onResponse() {
  ConsecutiveFailures = 0;
  LastResponseAt = LoopTimers::now();
  if (!StoreUnavailable)
    return;
  StoreUnavailable = false;
  Handlers.OnBack();
}

void KeyFollower::onFailure(StoreOutcome Outcome) {
  if (!StoreUnavailable) {
    StoreUnavailable = true;
    Handlers.OnLost(Outcome);
  }
  const int Doublings = std::min(ConsecutiveFailures++, MaxBackoffDoublings);
  const Duration Backoff = std::min(
      MaxBackoff, InitialBackoff * static_cast<double>(1 << Doublings));
  const double JitterFactor =
      0.5 + 0.5 * (static_cast<double>(Engine()) / 4294967296.0);
  // The changes that a failed watch missed may be in history that the store
  // has compacted, and a new watch would then wait for the next change. Only a
  // snapshot read is sure to return them.
  schedule(Backoff * JitterFactor, &KeyFollower::readSnapshot);
}

void KeyFollower::onPage(StorePage Page) {
  if (Page.Outcome != StoreOutcome::Done) {
    onFailure(Page.Outcome);
    return;
  }
  onResponse();
  if (FirstPage)
    Revision = Page.Revision;
  FirstPage = false;
  std::move(Page.Items.begin(), Page.Items.end(),
            std::back_inserter(SnapshotItems));
  if (Page.More && !SnapshotItems.empty()) {
    readPage(SnapshotItems.back().Key);
    return;
  }
  SnapshotReceived = true;
  Handlers.OnAll(SnapshotItems, Revision);
  SnapshotItems.clear();
  FirstWatch = true;
  watch();
}

void KeyFollower::watch() {
  Store.watch(Options.Prefix, Revision,
              FirstWatch ? Options.FirstWatchWait : Options.WatchWait,
              [this](const StorePage &Page) { onWatch(Page); });
}

void KeyFollower::onWatch(const StorePage &Page) {
  if (Page.Outcome == StoreOutcome::HistoryGone) {
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
  Revision = std::max(Revision, Page.Revision);
  if (Page.Items.empty()) {
    watch();
    return;
  }
  Handlers.OnChanges(Page.Items);
  if (Options.BatchPause > absl::ZeroDuration())
    schedule(Options.BatchPause, &KeyFollower::watch);
  else
    watch();
}

} // namespace quetzallead
