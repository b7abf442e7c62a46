#ifndef QUETZALLEAD_RELAY_STOREMONITOR_H
#define QUETZALLEAD_RELAY_STOREMONITOR_H

#include "core/relay/StoreOutages.h"
#include "relay/LoopTimers.h"
#include <functional>
#include <memory>
#include <optional>

namespace quetzallead {

class RelayMetrics;
class RevisionedStore;

/// Watches over the calls of a store, sends probes when there are none, and
/// reports outages of the store.
class StoreMonitor {
public:
  /// \p LapseTime is the shortest outage in which entries may lapse. The other
  /// arguments must outlive this object.
  StoreMonitor(RevisionedStore &Store, LoopTimers &Timers,
               RelayMetrics &Metrics, Duration LapseTime);

  /// Makes a call of the store that is not a watch.
  std::function<void()> SendProbe;
  /// Called when the store is back from an outage in which entries may have
  /// lapsed, with the time of its return.
  std::function<void(TimePoint At)> OnReturned;
  /// Called when the store has served a call at \p At, here or elsewhere, after
  /// OnReturned.
  std::function<void(TimePoint At)> OnServed;

  /// Starts to observe the store. The functions above must be set.
  void start();
  /// Sends probes from \p Due on until it is called again: something depends on
  /// whether the store serves then. Infinite if nothing does.
  void proveFrom(TimePoint Due);
  /// An instance has told that the store served it \p Age ago.
  void onServedElsewhere(Duration Age);
  /// Time since the store last served a call of this instance; empty if it has
  /// not.
  std::optional<Duration> age() const;

private:
  void onServed();
  void onReturned(TimePoint At, Duration Away);
  void check();
  void probe();

  RevisionedStore &Store;
  LoopTimers &Timers;
  RelayMetrics &Metrics;
  StoreOutages Outages;
  TimePoint ServedHereAt = absl::InfinitePast();
  TimePoint ProbedAt = absl::InfinitePast();
  std::shared_ptr<LoopTimers::Subscription> CheckTimer;
  std::shared_ptr<LoopTimers::Subscription> ProofTimer;
};

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_STOREMONITOR_H
