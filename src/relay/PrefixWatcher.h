#ifndef QUETZALLEAD_RELAY_PREFIXWATCHER_H
#define QUETZALLEAD_RELAY_PREFIXWATCHER_H

#include "relay/LoopTimers.h"
#include "relay/RevisionedStore.h"
#include <functional>
#include <memory>
#include <pcg_random.hpp>
#include <string>
#include <vector>

namespace quetzallead {

/// Options of a PrefixWatcher.
struct PrefixWatchOptions {
  std::string Prefix;
  /// Delay from receiving changes to the next watch, so that changes in quick
  /// succession arrive in one response.
  Duration BatchDelay = absl::ZeroDuration();
  /// Time after which a watch without a response counts as lost. A store that
  /// loses a response need not close the connection, and until then the loss
  /// looks like a prefix without changes.
  Duration MaxSilence = absl::Milliseconds(2400);
  /// Longest wait of the first watch after a snapshot read: if the store
  /// compacts its history between the two, the watch sees no change until it
  /// ends.
  Duration FirstWatchWait = absl::Seconds(1);
  /// Seed of the backoff jitter.
  std::uint64_t Seed = 1;
};

/// Callbacks of a PrefixWatcher.
struct PrefixWatchHandlers {
  /// Receives a snapshot of all keys. \p Revision is that of its first page;
  /// later pages may contain newer changes.
  std::function<void(const std::vector<StoreItem> &, std::uint64_t Revision)>
      OnSnapshot;
  /// Called before OnSnapshot if the store has come back from a copy since the
  /// last one: the revisions of the items cannot be compared with earlier ones.
  /// \p SeenAt is when this was noticed. May be empty.
  std::function<void(TimePoint SeenAt)> OnNewEra;
  std::function<void(const std::vector<StoreItem> &)> OnChanges;
  /// Called after OnSnapshot, after OnChanges and when a watch has ended
  /// without changes: all changes that the store had made by \p AsOf have been
  /// reported, however late the response was handled. May be empty.
  std::function<void(TimePoint AsOf)> OnCurrent;
  /// Called on the first of consecutive failures: the store does not respond or
  /// rejects calls.
  std::function<void(StoreOutcome)> OnUnavailable;
  /// Called when the store is available again. This may be before the first
  /// OnAll.
  std::function<void()> OnAvailable;
};

/// Follows the keys of a prefix: reads a snapshot of all of them, then watches
/// for changes from the revision at which the snapshot read began. Reads a new
/// snapshot when the store has compacted that history or a watch failed, and
/// when it has come back from an older copy, where revisions are given out
/// again and a watch would miss what was written under those that it has seen.
/// The first watch after a snapshot is a short one. Failures are followed by
/// exponential backoff with jitter, so that instances that start together do
/// not overload a recovering store.
class PrefixWatcher {
public:
  PrefixWatcher(RevisionedStore &Store, LoopTimers &Timers,
                PrefixWatchOptions Options, PrefixWatchHandlers Handlers);

  void start();
  /// Reads a new snapshot, since the store has come back from a copy. Responses
  /// to earlier calls are ignored.
  void onNewEra();
  /// The store is back from an outage: a read that waits for its backoff is
  /// sent soon.
  void onStoreReturned();
  /// Whether all keys have been read at least once.
  bool hasSnapshot() const { return SnapshotReceived; }
  /// Time of the last response that was not a failure. A watch without changes
  /// responds at the end of its wait.
  TimePoint lastResponseAt() const { return LastResponseAt; }

private:
  void beginNewEra();
  void readPage(const std::string &AfterKey);
  void repeatRead();
  void backOff();
  void watch();
  void onPage(StorePage Page);
  void onWatch(const StorePage &Page);
  void onFailure(StoreOutcome Outcome);
  void onResponse();
  void reportUnavailable(StoreOutcome Outcome);
  void reportCurrent(TimePoint AsOf);
  void schedule(Duration Delay, void (PrefixWatcher::*Call)());
  void readSnapshot();

  RevisionedStore &Store;
  LoopTimers &Timers;
  PrefixWatchOptions Options;
  PrefixWatchHandlers Handlers;
  pcg32 Engine;
  /// Items of the pages read so far.
  std::vector<StoreItem> SnapshotItems;
  /// Revision after which the next watch starts.
  std::uint64_t Revision = 0;
  /// The next snapshot is the first one of a new era.
  bool NewEra = false;
  TimePoint EraSeenAt = absl::InfinitePast();
  /// When the first page of the snapshot was requested.
  TimePoint SnapshotBegunAt = absl::InfinitePast();
  TimePoint WatchSentAt = absl::InfinitePast();
  Duration WatchWait = absl::ZeroDuration();
  /// Time that the next watch has been delayed to batch changes.
  Duration DelayedFor = absl::ZeroDuration();
  /// Number of the calls whose responses count.
  std::uint64_t CallSeries = 0;
  bool FirstPage = true;
  bool FirstWatch = true;
  bool SnapshotReceived = false;
  TimePoint LastResponseAt = absl::InfinitePast();
  bool StoreUnavailable = false;
  bool BackingOff = false;
  int ConsecutiveFailures = 0;
  /// Reads since the last response that were given up.
  int UnansweredReads = 0;
  std::shared_ptr<LoopTimers::Subscription> Timer;
};

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_PREFIXWATCHER_H
