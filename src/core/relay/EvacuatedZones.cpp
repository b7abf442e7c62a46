#include "core/relay/EvacuatedZones.h"
#include <algorithm>

namespace quetzallead {

/// How long an evacuation that a restored copy of the store lacks stays in
/// force: the operator had it confirmed, and has this time to repeat it.
static constexpr Duration RestoredHoldTime = absl::Seconds(30);
/// How long an evacuation stays in force after homes have stopped to tell it.
/// What a home says may be older than what the store has said here.
static constexpr Duration HeardHoldTime = absl::Seconds(1);

bool EvacuatedZones::replaceAll(const std::set<std::string> &Listed,
                                TimePoint Now) {
  Known = true;
  SourceLost = false;
  const std::set<std::string> Before = zones();
  for (auto It = Zones.begin(); It != Zones.end();) {
    Evacuation &E = It->second;
    if (EraBegins && Listed.count(It->first) == 0) {
      // A further restore does not begin the time anew.
      E.EndsAt = std::min(E.EndsAt, Now + RestoredHoldTime);
      E.LostByStore = true;
    }
    const bool Stays =
        Listed.count(It->first) != 0 || (E.LostByStore && Now < E.EndsAt);
    It = Stays ? std::next(It) : Zones.erase(It);
  }
  EraBegins = false;
  for (const std::string &Zone : Listed)
    Zones[Zone] = Evacuation();
  return zones() != Before;
}

bool EvacuatedZones::apply(const std::string &Zone, bool Evacuated) {
  SourceLost = false;
  if (!Evacuated)
    return Zones.erase(Zone) != 0;
  const bool New = Zones.count(Zone) == 0;
  Zones[Zone] = Evacuation();
  return New;
}

bool EvacuatedZones::hearFromHome(const std::set<std::string> &Told,
                                  TimePoint Now) {
  if (!SourceLost)
    return false;
  Known = true;
  const std::size_t Before = Zones.size();
  for (const std::string &Zone : Told) {
    Evacuation &E = Zones[Zone];
    // A home that holds what the store has lost does not know more than this
    // instance.
    if (!E.LostByStore)
      E.EndsAt = absl::InfiniteFuture();
  }
  for (auto &[Zone, E] : Zones)
    if (!E.LostByStore && Told.count(Zone) == 0)
      E.EndsAt = std::min(E.EndsAt, Now + HeardHoldTime);
  return Zones.size() != Before;
}

bool EvacuatedZones::expire(TimePoint Now) {
  const std::size_t Before = Zones.size();
  for (auto It = Zones.begin(); It != Zones.end();)
    It = It->second.EndsAt <= Now ? Zones.erase(It) : std::next(It);
  return Zones.size() != Before;
}

TimePoint EvacuatedZones::nextExpiry() const {
  TimePoint Next = absl::InfiniteFuture();
  for (const auto &[Zone, E] : Zones)
    Next = std::min(Next, E.EndsAt);
  return Next;
}

std::set<std::string> EvacuatedZones::zones() const {
  std::set<std::string> Names;
  for (const auto &[Zone, E] : Zones)
    Names.insert(Zone);
  return Names;
}

} // namespace quetzallead
