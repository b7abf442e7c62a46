#ifndef QUETZALLEAD_RUNSTATE_H
#define QUETZALLEAD_RUNSTATE_H

#include "quetzallead/NameTable.h"

namespace quetzallead {

/// What is known about the execution of a request at the backend servers.
enum class RunState {
  NotRun,  ///< No backend server executed it, and none will.
  Ran,     ///< It was executed.
  Unknown, ///< It may have been executed; it will not be repeated.
};

inline constexpr NamedValue<RunState> RunStateNames[] = {
    {RunState::NotRun, "not_run"},
    {RunState::Ran, "ran"},
    {RunState::Unknown, "unknown"},
};

} // namespace quetzallead

#endif // QUETZALLEAD_RUNSTATE_H
