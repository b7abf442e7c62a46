#ifndef QUETZALLEAD_CORE_RELAY_HEDGEOBSTACLE_H
#define QUETZALLEAD_CORE_RELAY_HEDGEOBSTACLE_H

#include "quetzallead/NameTable.h"

namespace quetzallead {

/// Why a hedge that was due was not sent.
enum class HedgeObstacle {
  None,     ///< It was sent, or none was due.
  Budget,   ///< The budget of extra load left too little.
  NoServer, ///< No other server was in reach, sound and with little ahead.
};

inline constexpr NamedValue<HedgeObstacle> HedgeObstacleNames[] = {
    {HedgeObstacle::None, "none"},
    {HedgeObstacle::Budget, "budget"},
    {HedgeObstacle::NoServer, "no_server"},
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_HEDGEOBSTACLE_H
