#ifndef QUETZALLEAD_RUNTIME_REQUESTOUTCOME_H
#define QUETZALLEAD_RUNTIME_REQUESTOUTCOME_H

#include "quetzallead/NameTable.h"

namespace quetzallead {

/// How a caller's request ended, as metrics count it.
enum class RequestOutcome {
  Complete, ///< Answered with full coverage.
  Partial,  ///< Answered; what is missing was named.
  Invalid,  ///< Refused for what the request was.
  Refused,  ///< Refused unrun for the state of the system.
  Deadline, ///< The time was up.
  Unknown,  ///< A command that may have run.
  Failed,   ///< Anything else.
};

inline constexpr NamedValue<RequestOutcome> RequestOutcomeNames[] = {
    {RequestOutcome::Complete, "complete"},
    {RequestOutcome::Partial, "partial"},
    {RequestOutcome::Invalid, "invalid"},
    {RequestOutcome::Refused, "refused"},
    {RequestOutcome::Deadline, "deadline"},
    {RequestOutcome::Unknown, "unknown"},
    {RequestOutcome::Failed, "failed"},
};

inline constexpr int RequestOutcomeCount = 7;

} // namespace quetzallead

#endif // QUETZALLEAD_RUNTIME_REQUESTOUTCOME_H
