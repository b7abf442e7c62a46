#ifndef QUETZALLEAD_CORE_RELAY_SERVERSTANDING_H
#define QUETZALLEAD_CORE_RELAY_SERVERSTANDING_H

#include "quetzallead/NameTable.h"
#include <cstddef>

namespace quetzallead {

/// State of a backend server as observed by one instance.
enum class ServerStanding {
  Healthy,
  Overdue,     ///< An attempt in flight has exceeded its expected time.
  Ejected,     ///< Gets no attempts for a while after failures or rejections.
  Unreachable, ///< No connection can be established, or it is unresponsive.
  Leaving,     ///< Accepts no new attempts.
};

inline constexpr std::size_t ServerStandingCount = 5;

inline constexpr NamedValue<ServerStanding>
    ServerStandingNames[ServerStandingCount] = {
        {ServerStanding::Healthy, "sound"},
        {ServerStanding::Overdue, "overdue"},
        {ServerStanding::Ejected, "resting"},
        {ServerStanding::Unreachable, "unreachable"},
        {ServerStanding::Leaving, "leaving"},
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_SERVERSTANDING_H
