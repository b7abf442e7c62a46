#ifndef QUETZALLEAD_CORE_RELAY_STOREOUTAGES_H
#define QUETZALLEAD_CORE_RELAY_STOREOUTAGES_H

#include "quetzallead/Time.h"

namespace quetzallead {

/// Tells from the calls that the store has served whether it was away for so
/// long that entries may have lapsed in it.
///
/// A call that ends without an answer shows only that this call has ended: a
/// store that serves may cut watches and lose answers at any rate. What counts
/// is how long no call at all was served, neither here nor at an instance that
/// tells so. Probes distinguish an outage from a time without calls. Time in
/// which this process did not run does not count. Not thread-safe.
class StoreOutages {
public:
  /// \p LapseTime is the shortest outage in which entries may lapse.
  explicit StoreOutages(Duration LapseTime);

  /// Starts the observation.
  void begin(TimePoint Now);
  /// The store has served a call of this instance. Returns whether this ends an
  /// outage.
  bool onServed(TimePoint Now);
  /// An instance has told that the store served it at \p At. Returns whether
  /// this ends an outage.
  bool onServedElsewhere(TimePoint At, TimePoint Now);
  /// Accounts for the time until \p Now. Returns whether a probe is to be sent:
  /// any call but a watch.
  bool advance(TimePoint Now);
  /// When advance() is due.
  TimePoint nextCheck() const;

  /// When the store last served a call, here or elsewhere.
  TimePoint servedAt() const { return ServedAt; }

private:
  void account(TimePoint Now);
  Duration firstProbeAfter() const;

  const Duration LapseTime;
  TimePoint ServedAt = absl::InfinitePast();
  /// Time until which Silence is accounted for.
  TimePoint SeenAt = absl::InfinitePast();
  /// Time without a served call, as far as this process ran.
  Duration Silence = absl::ZeroDuration();
  /// Probes sent since the store last served a call.
  int Probes = 0;
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_STOREOUTAGES_H
