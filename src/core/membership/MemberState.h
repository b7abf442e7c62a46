#ifndef QUETZALLEAD_CORE_MEMBERSHIP_MEMBERSTATE_H
#define QUETZALLEAD_CORE_MEMBERSHIP_MEMBERSTATE_H

#include "quetzallead/NameTable.h"

namespace quetzallead {

/// What is believed of an instance. The values are the wire's.
enum class MemberState {
  Alive = 0,
  Suspect = 1, ///< Did not answer; still counts as live until it is Dead.
  Leaving = 2, ///< Stops as planned and takes no new work.
  Dead = 3,
};

inline constexpr NamedValue<MemberState> MemberStateNames[] = {
    {MemberState::Alive, "alive"},
    {MemberState::Suspect, "suspect"},
    {MemberState::Leaving, "leaving"},
    {MemberState::Dead, "dead"},
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_MEMBERSHIP_MEMBERSTATE_H
