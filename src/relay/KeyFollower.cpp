#include "relay/KeyFollower.h"
#include <algorithm>

namespace quetzallead {

/// First pause after a failure, doubled for each further one. The longest one
/// is short against the seconds within which a change has to be in force.
static constexpr Duration FirstPause = absl::Milliseconds(50);
static constexpr Duration LongestPause = absl::Milliseconds(800);
static constexpr int MostDoublings = 6;

KeyFollower::KeyFollower(RevisionedStore &GivenStore, LoopTimers &GivenTimers,
                         FollowOptions GivenOptions,
                         FollowHandlers GivenHandlers)
    : Store(GivenStore), Timers(GivenTimers), Options(std::move(GivenOptions)),
      Handlers(std::move(GivenHandlers)), Engine(Options.Seed) {}

void KeyFollower::start() { readAll(); }

void KeyFollower::later(Duration Pause, void (KeyFollower::*Step)()) {
  Timer = Timers.at(LoopTimers::now() + Pause,
                    [this, Step](TimePoint) { (this->*Step)(); });
}

void KeyFollower::readAll() {
  Pages.clear();
  FirstPage = true;
  readPage(std::string());
}

void KeyFollower::readPage(const std::string &After) {
  Store.read(Options.Prefix, After, false,
             [this](StorePage Page) { onPage(std::move(Page)); });
}

void KeyFollower::onAnswered() {
  Failures = 0;
  AnsweredAt = LoopTimers::now();
  if (!Lost)
    return;
  Lost = false;
  Handlers.OnBack();
}

void KeyFollower::onFailure(StoreOutcome Outcome) {
  if (!Lost) {
    Lost = true;
    Handlers.OnLost(Outcome);
  }
  const int Doublings = std::min(Failures++, MostDoublings);
  const Duration Longest =
      std::min(LongestPause, FirstPause * static_cast<double>(1 << Doublings));
  const double Spread =
      0.5 + 0.5 * (static_cast<double>(Engine()) / 4294967296.0);
  // What a watch that was cut has missed may lie in history that the store has
  // dropped, and another watch would wait for the next change: only a reading
  // tells.
  later(Longest * Spread, &KeyFollower::readAll);
}

void KeyFollower::onPage(StorePage Page) {
  if (Page.Outcome != StoreOutcome::Done) {
    onFailure(Page.Outcome);
    return;
  }
  onAnswered();
  if (FirstPage)
    Revision = Page.Revision;
  FirstPage = false;
  std::move(Page.Items.begin(), Page.Items.end(), std::back_inserter(Pages));
  if (Page.More && !Pages.empty()) {
    readPage(Pages.back().Key);
    return;
  }
  EverComplete = true;
  Handlers.OnAll(Pages, Revision);
  Pages.clear();
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
    onAnswered();
    readAll();
    return;
  }
  if (Page.Outcome != StoreOutcome::Done) {
    onFailure(Page.Outcome);
    return;
  }
  onAnswered();
  FirstWatch = false;
  Revision = std::max(Revision, Page.Revision);
  if (Page.Items.empty()) {
    watch();
    return;
  }
  Handlers.OnChanges(Page.Items);
  if (Options.BatchPause > absl::ZeroDuration())
    later(Options.BatchPause, &KeyFollower::watch);
  else
    watch();
}

} // namespace quetzallead
