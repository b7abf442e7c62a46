#ifndef QUETZALLEAD_CORE_RELAY_EVACUATEDZONES_H
#define QUETZALLEAD_CORE_RELAY_EVACUATEDZONES_H

#include "quetzallead/Time.h"
#include <map>
#include <set>
#include <string>

namespace quetzallead {

/// The availability zones whose backend servers the operator wants to get no
/// requests, as the store or, while it is out of reach, other homes tell.
///
/// Handles stores that are away when an evacuation begins or ends, instances
/// that start meanwhile, and stores that come back from an older copy, which
/// may lack evacuations that they had confirmed. Each function that may change
/// the set returns whether it did. Not thread-safe.
class EvacuatedZones {
public:
  /// The store has returned all evacuations.
  bool replaceAll(const std::set<std::string> &Zones, TimePoint Now);
  /// The store has returned a change of one.
  bool apply(const std::string &Zone, bool Evacuated);
  /// The store has come back from an older copy; replaceAll() follows.
  void beginEra() { EraBegins = true; }
  /// The store has stopped to respond, and responds again.
  void onSourceLost() { SourceLost = true; }
  void onSourceBack() { SourceLost = false; }
  /// A home that is in contact with the store has told \p Zones. Counts only
  /// while the store is not.
  bool hearFromHome(const std::set<std::string> &Zones, TimePoint Now);
  /// Ends what was held until \p Now.
  bool expire(TimePoint Now);
  /// When expire() is due; infinite if nothing is held.
  TimePoint nextExpiry() const;

  bool contains(const std::string &Zone) const {
    return Zones.count(Zone) != 0;
  }
  std::set<std::string> zones() const;
  /// Whether the store or a home has told the set.
  bool known() const { return Known; }
  /// Whether the set is that of the store rather than of other homes.
  bool fromSource() const { return Known && !SourceLost; }

private:
  struct Evacuation {
    /// Infinite while the store or a home tells the evacuation.
    TimePoint EndsAt = absl::InfiniteFuture();
    /// A restored copy of the store lacks it.
    bool LostByStore = false;
  };

  std::map<std::string, Evacuation> Zones;
  bool Known = false;
  bool SourceLost = true;
  bool EraBegins = false;
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_EVACUATEDZONES_H
