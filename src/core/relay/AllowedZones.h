#ifndef QUETZALLEAD_CORE_RELAY_ALLOWEDZONES_H
#define QUETZALLEAD_CORE_RELAY_ALLOWEDZONES_H

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace quetzallead {

/// The availability zones whose backend servers and instances a request may
/// reach; null for all.
using AllowedZones = std::shared_ptr<const std::set<std::string>>;

/// The zones that lie in a region that both the route and the account of a
/// request allow; either allows all if it names none. A region in which no zone
/// lies allows nothing.
AllowedZones
allowedZones(const std::vector<std::string> &RouteRegions,
             const std::vector<std::string> &AccountRegions,
             const std::map<std::string, std::string> &ZoneRegions);

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_ALLOWEDZONES_H
