#ifndef QUETZALLEAD_CORE_COMMAND_ATTEMPTOUTCOME_H
#define QUETZALLEAD_CORE_COMMAND_ATTEMPTOUTCOME_H

#include "quetzallead/NameTable.h"

namespace quetzallead {

/// What the transport knows of one attempt at a backend server.
enum class AttemptOutcome {
  NotSent,      ///< No byte of the body left.
  RefusedUnrun, ///< The server said that it did not run it.
  Answered,     ///< The server's whole reply is there.
  Unknown,      ///< Anything else: it may have run.
};

inline constexpr NamedValue<AttemptOutcome> AttemptOutcomeNames[] = {
    {AttemptOutcome::NotSent, "not_sent"},
    {AttemptOutcome::RefusedUnrun, "refused_unrun"},
    {AttemptOutcome::Answered, "answered"},
    {AttemptOutcome::Unknown, "unknown"},
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_COMMAND_ATTEMPTOUTCOME_H
