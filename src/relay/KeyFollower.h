#ifndef QUETZALLEAD_RELAY_KEYFOLLOWER_H
#define QUETZALLEAD_RELAY_KEYFOLLOWER_H

#include "relay/LoopTimers.h"
#include "relay/RevisionedStore.h"
#include <functional>
#include <memory>
#include <pcg_random.hpp>
#include <string>
#include <vector>

namespace quetzallead {

/// What a KeyFollower follows, and how.
struct FollowOptions {
  std::string Prefix;
  /// Pause behind changes before the next watch: changes that come close
  /// together are taken in one call.
  Duration BatchPause = absl::ZeroDuration();
  Duration WatchWait = absl::Seconds(25);
  /// The same for the first watch behind a reading: if the store drops its
  /// history between the two, the watch hears nothing until its wait is over.
  Duration FirstWatchWait = absl::Seconds(1);
  std::uint64_t Seed = 1;
};

/// What becomes known of the keys.
struct FollowHandlers {
  /// All keys, at some moment after \p Revision.
  std::function<void(const std::vector<StoreItem> &, std::uint64_t Revision)>
      OnAll;
  std::function<void(const std::vector<StoreItem> &)> OnChanges;
  /// The store does not answer, or refuses.
  std::function<void(StoreOutcome)> OnLost;
  /// The store answers again; also before the first OnAll.
  std::function<void()> OnBack;
};

/// Keeps up with the keys of a prefix: reads all of them, then watches for
/// changes from the revision at which the reading began, and reads again when
/// the store has forgotten that history or a watch was cut. The first watch
/// behind a reading is a short one. Failures are
/// followed by growing, spread pauses, so that a fleet that starts together
/// does not keep a store down that is coming back.
class KeyFollower {
public:
  KeyFollower(RevisionedStore &Store, LoopTimers &Timers, FollowOptions Options,
              FollowHandlers Handlers);

  void start();
  /// True once all keys have been read at least once.
  bool everComplete() const { return EverComplete; }
  /// When the store last answered; a watch without changes is answered at the
  /// end of its wait only.
  TimePoint answeredAt() const { return AnsweredAt; }

private:
  void readPage(const std::string &After);
  void watch();
  void onPage(StorePage Page);
  void onWatch(const StorePage &Page);
  void onFailure(StoreOutcome Outcome);
  void onAnswered();
  void later(Duration Pause, void (KeyFollower::*Step)());
  void readAll();

  RevisionedStore &Store;
  LoopTimers &Timers;
  FollowOptions Options;
  FollowHandlers Handlers;
  pcg32 Engine;
  std::vector<StoreItem> Pages;
  /// Where the next watch begins.
  std::uint64_t Revision = 0;
  bool FirstPage = true;
  bool FirstWatch = true;
  bool EverComplete = false;
  TimePoint AnsweredAt = absl::InfinitePast();
  bool Lost = false;
  int Failures = 0;
  std::shared_ptr<LoopTimers::Subscription> Timer;
};

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_KEYFOLLOWER_H
