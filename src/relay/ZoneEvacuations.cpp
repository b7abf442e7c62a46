#include "relay/ZoneEvacuations.h"
#include "absl/strings/match.h"
#include "core/relay/RelayState.h"
#include "relay/BackendClient.h"
#include "relay/LinkMessages.h"
#include "runtime/Logger.h"

namespace quetzallead {

ZoneEvacuations::ZoneEvacuations(
    LoopTimers &GivenTimers, RelayState &GivenState,
    BackendClient &GivenBackends, const std::string &GivenPrefix,
    const std::map<std::string, std::string> &GivenZoneRegions)
    : Timers(GivenTimers), State(GivenState), Backends(GivenBackends),
      Prefix(GivenPrefix), ZoneRegions(GivenZoneRegions) {}

std::string ZoneEvacuations::zoneOf(const StoreItem &Item) const {
  return !Prefix.empty() && absl::StartsWith(Item.Key, Prefix)
             ? Item.Key.substr(Prefix.size())
             : std::string();
}

void ZoneEvacuations::onSnapshot(const std::vector<StoreItem> &Items) {
  std::set<std::string> Listed;
  for (const StoreItem &Item : Items) {
    const std::string Zone = zoneOf(Item);
    if (!Zone.empty() && !Item.Removed)
      Listed.insert(Zone);
  }
  apply(Zones.replaceAll(Listed, LoopTimers::now()), "store");
}

void ZoneEvacuations::onChanges(const std::vector<StoreItem> &Items) {
  bool Changed = false;
  for (const StoreItem &Item : Items) {
    const std::string Zone = zoneOf(Item);
    if (!Zone.empty())
      Changed = Zones.apply(Zone, !Item.Removed) || Changed;
  }
  apply(Changed, "store");
}

void ZoneEvacuations::onHomeResponse(const LinkResponseInfo &Info) {
  if (Info.KnowsZones)
    apply(Zones.hearFromHome(Info.EvacuatedZones, LoopTimers::now()), "home");
}

void ZoneEvacuations::describe(LinkResponseInfo &Info) const {
  Info.KnowsZones = Zones.fromSource();
  if (Info.KnowsZones)
    Info.EvacuatedZones = Zones.zones();
}

void ZoneEvacuations::apply(bool Changed, const char *Source) {
  scheduleExpiry();
  if (!Changed)
    return;
  const std::set<std::string> Current = Zones.zones();
  for (const std::string &Zone : Current) {
    if (InForce.count(Zone) != 0)
      continue;
    logEvent(LogLevel::Info, "zone_evacuated",
             {{"evacuated", Zone}, {"source", Source}});
    if (!ZoneRegions.empty() && ZoneRegions.count(Zone) == 0)
      logEvent(LogLevel::Warning, "zone_unknown",
               {{"evacuated", Zone}, {"field", Prefix + Zone}});
  }
  bool Returned = false;
  for (const std::string &Zone : InForce)
    if (Current.count(Zone) == 0) {
      Returned = true;
      logEvent(LogLevel::Info, "zone_returned",
               {{"evacuated", Zone}, {"source", Source}});
    }
  InForce = Current;
  // The servers that remain take the load of the others.
  const std::vector<ServerRef> Remaining =
      State.setEvacuatedZones(InForce, LoopTimers::now());
  if (!Returned)
    for (const ServerRef &Server : Remaining)
      if (Server->IdleConnections == 0)
        Backends.preconnect(Server);
}

void ZoneEvacuations::scheduleExpiry() {
  const TimePoint Due = Zones.nextExpiry();
  ExpiryTimer.reset();
  if (Due != absl::InfiniteFuture())
    ExpiryTimer = Timers.at(
        Due, [this](TimePoint Now) { apply(Zones.expire(Now), "expiry"); });
}

} // namespace quetzallead
