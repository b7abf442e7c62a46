#ifndef QUETZALLEAD_RELAY_ZONEEVACUATIONS_H
#define QUETZALLEAD_RELAY_ZONEEVACUATIONS_H

#include "core/relay/EvacuatedZones.h"
#include "relay/LoopTimers.h"
#include "relay/StoreItem.h"
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace quetzallead {

class BackendClient;
class RelayState;
struct LinkResponseInfo;

/// Applies the operator's evacuations of availability zones to the pools, from
/// the store and from what homes tell.
class ZoneEvacuations {
public:
  /// \p Prefix precedes the zone in the store's keys, \p ZoneRegions names the
  /// zones that exist, or is empty. The arguments must outlive this object.
  ZoneEvacuations(LoopTimers &Timers, RelayState &State,
                  BackendClient &Backends, const std::string &Prefix,
                  const std::map<std::string, std::string> &ZoneRegions);

  /// Applies all keys of the operator, or changes of some. Keys that do not
  /// begin with the prefix are ignored.
  void onSnapshot(const std::vector<StoreItem> &Items);
  void onChanges(const std::vector<StoreItem> &Items);
  void onNewEra() { Zones.beginEra(); }
  void onSourceLost() { Zones.onSourceLost(); }
  void onSourceBack() { Zones.onSourceBack(); }
  /// Takes what a home tells of the evacuations.
  void onHomeResponse(const LinkResponseInfo &Info);
  /// Tells another instance of them, if the store has told this one.
  void describe(LinkResponseInfo &Info) const;
  /// Whether the store or a home has told which zones are evacuated.
  bool known() const { return Zones.known(); }
  std::size_t count() const { return Zones.zones().size(); }

private:
  std::string zoneOf(const StoreItem &Item) const;
  /// Puts the set into force if it has \p Changed.
  void apply(bool Changed, const char *Source);
  void scheduleExpiry();

  LoopTimers &Timers;
  RelayState &State;
  BackendClient &Backends;
  const std::string &Prefix;
  const std::map<std::string, std::string> &ZoneRegions;
  EvacuatedZones Zones;
  /// The set that is in force in the pools.
  std::set<std::string> InForce;
  std::shared_ptr<LoopTimers::Subscription> ExpiryTimer;
};

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_ZONEEVACUATIONS_H
