#ifndef QUETZALLEAD_CORE_RELAY_SERVERSTANDING_H
#define QUETZALLEAD_CORE_RELAY_SERVERSTANDING_H

#include "quetzallead/NameTable.h"
#include <cstddef>

namespace quetzallead {

/// What an instance believes of a backend server.
enum class ServerStanding {
  Sound,
  Overdue,     ///< An attempt there has gone unanswered for too long.
  Resting,     ///< It failed or refused a moment ago.
  Unreachable, ///< No connection can be set up, or it fell silent.
  Leaving,     ///< It takes nothing new.
};

inline constexpr std::size_t ServerStandingCount = 5;

inline constexpr NamedValue<ServerStanding>
    ServerStandingNames[ServerStandingCount] = {
        {ServerStanding::Sound, "sound"},
        {ServerStanding::Overdue, "overdue"},
        {ServerStanding::Resting, "resting"},
        {ServerStanding::Unreachable, "unreachable"},
        {ServerStanding::Leaving, "leaving"},
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_SERVERSTANDING_H
