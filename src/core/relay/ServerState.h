#ifndef QUETZALLEAD_CORE_RELAY_SERVERSTATE_H
#define QUETZALLEAD_CORE_RELAY_SERVERSTATE_H

#include "quetzallead/NameTable.h"
#include <cstddef>

namespace quetzallead {

/// State of a backend server as observed by one instance.
enum class ServerState {
  Healthy,
  Overdue,     ///< An attempt in flight has exceeded its expected time.
  Ejected,     ///< Gets no attempts for a while after failures or rejections.
  Unreachable, ///< No connection can be established, or it is unresponsive.
  Paused,      ///< Has asked for no requests for a while.
  Leaving,     ///< Accepts no new attempts.
};

inline constexpr std::size_t ServerStateCount = 6;

inline constexpr NamedValue<ServerState> ServerStateNames[ServerStateCount] = {
    {ServerState::Healthy, "sound"},
    {ServerState::Overdue, "overdue"},
    {ServerState::Ejected, "resting"},
    {ServerState::Unreachable, "unreachable"},
    {ServerState::Paused, "paused"},
    {ServerState::Leaving, "leaving"},
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_SERVERSTATE_H
