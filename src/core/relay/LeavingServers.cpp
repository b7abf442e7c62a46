#include "core/relay/LeavingServers.h"
#include <algorithm>

namespace quetzallead {

bool LeavingServers::contains(const DiscoveredServer &Server) const {
  auto Found = ById.find(Server.Id);
  if (Found == ById.end())
    return false;
  return std::any_of(
      Found->second.begin(), Found->second.end(), [&](const Incarnation &I) {
        const bool StartKnown =
            I.StartedAtMillis != 0 && Server.StartedAtMillis != 0;
        return I.Address == Server.Address &&
               (!StartKnown || I.StartedAtMillis == Server.StartedAtMillis);
      });
}

bool LeavingServers::add(const DiscoveredServer &Server) {
  if (contains(Server))
    return false;
  if (Order.size() == MaxIncarnations) {
    auto Oldest = ById.find(Order.front());
    Oldest->second.erase(Oldest->second.begin());
    if (Oldest->second.empty())
      ById.erase(Oldest);
    Order.pop_front();
  }
  ById[Server.Id].push_back(
      Incarnation{Server.Address, Server.StartedAtMillis});
  Order.push_back(Server.Id);
  return true;
}

} // namespace quetzallead
