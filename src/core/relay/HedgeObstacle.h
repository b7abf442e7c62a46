#ifndef QUETZALLEAD_CORE_RELAY_HEDGEOBSTACLE_H
#define QUETZALLEAD_CORE_RELAY_HEDGEOBSTACLE_H

#include "quetzallead/NameTable.h"

namespace quetzallead {

/// Why a due hedge was withheld.
enum class HedgeObstacle {
  None,     ///< No hedge was withheld.
  Budget,   ///< The extra-load budget had too little left.
  NoServer, ///< No other server was reachable, healthy and lightly loaded.
};

inline constexpr NamedValue<HedgeObstacle> HedgeObstacleNames[] = {
    {HedgeObstacle::None, "none"},
    {HedgeObstacle::Budget, "budget"},
    {HedgeObstacle::NoServer, "no_server"},
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_HEDGEOBSTACLE_H
