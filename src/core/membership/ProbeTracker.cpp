#include "core/membership/ProbeTracker.h"

namespace quetzallead {

void ProbeTracker::begin(const std::string &Target, TimePoint Until) {
  Pending.try_emplace(Target, Probe{Until, false});
}

void ProbeTracker::beginIndirect(const std::string &Target, TimePoint Until) {
  Pending[Target] = Probe{Until, true};
}

ProbeTracker::Overdue ProbeTracker::overdue(TimePoint Now) {
  Overdue Found;
  for (auto It = Pending.begin(); It != Pending.end();) {
    if (It->second.Until > Now) {
      ++It;
    } else if (It->second.Indirect) {
      Found.Failed.push_back(It->first);
      It = Pending.erase(It);
    } else {
      Found.ToAskHelpersFor.push_back(It->first);
      ++It;
    }
  }
  for (auto It = Relays.begin(); It != Relays.end();)
    It = It->second.Until <= Now ? Relays.erase(It) : std::next(It);
  return Found;
}

void ProbeTracker::addRelay(std::uint64_t Number, Relay R) {
  if (Relays.size() < MaxRelays)
    Relays.emplace(Number, std::move(R));
}

bool ProbeTracker::takeRelay(std::uint64_t Number, Relay &Out) {
  const auto It = Relays.find(Number);
  if (It == Relays.end())
    return false;
  Out = std::move(It->second);
  Relays.erase(It);
  return true;
}

} // namespace quetzallead
