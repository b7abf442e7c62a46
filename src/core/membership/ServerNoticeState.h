#ifndef QUETZALLEAD_CORE_MEMBERSHIP_SERVERNOTICESTATE_H
#define QUETZALLEAD_CORE_MEMBERSHIP_SERVERNOTICESTATE_H

#include "quetzallead/NameTable.h"

namespace quetzallead {

/// What an instance tells the others of a backend server. The values are the
/// wire's; of two notices of one revision the greater value holds.
enum class ServerNoticeState {
  Back = 0, ///< It serves again; revokes an earlier notice.
  Leaving = 1,
  Dead = 2,
  Unanswering = 3, ///< It takes connections and ends them without an answer.
};

inline constexpr NamedValue<ServerNoticeState> ServerNoticeStateNames[] = {
    {ServerNoticeState::Back, "back"},
    {ServerNoticeState::Leaving, "leaving"},
    {ServerNoticeState::Dead, "dead"},
    {ServerNoticeState::Unanswering, "unanswering"},
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_MEMBERSHIP_SERVERNOTICESTATE_H
