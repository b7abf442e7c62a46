#include "core/relay/AllowedZones.h"
#include <algorithm>

namespace quetzallead {

static bool allows(const std::vector<std::string> &Regions,
                   const std::string &Region) {
  return Regions.empty() ||
         std::find(Regions.begin(), Regions.end(), Region) != Regions.end();
}

AllowedZones
allowedZones(const std::vector<std::string> &RouteRegions,
             const std::vector<std::string> &AccountRegions,
             const std::map<std::string, std::string> &ZoneRegions) {
  if (RouteRegions.empty() && AccountRegions.empty())
    return nullptr;
  auto Zones = std::make_shared<std::set<std::string>>();
  for (const auto &[Zone, Region] : ZoneRegions)
    if (allows(RouteRegions, Region) && allows(AccountRegions, Region))
      Zones->insert(Zone);
  return Zones;
}

} // namespace quetzallead
