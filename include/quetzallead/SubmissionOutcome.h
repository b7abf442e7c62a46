#ifndef QUETZALLEAD_SUBMISSIONOUTCOME_H
#define QUETZALLEAD_SUBMISSIONOUTCOME_H

#include "quetzallead/NameTable.h"

namespace quetzallead {

/// What became of a submitted sheet.
enum class SubmissionOutcome {
  Accepted,    ///< In the audit at the stated revision.
  Unchanged,   ///< The sheet in force is the same; nothing was written.
  Conflict,    ///< Another change came first; nothing was written.
  Rejected,    ///< It breaks a rule; nothing was written.
  Unavailable, ///< The store could not take it; nothing was written.
  Unknown,     ///< It may be accepted; the same submission settles it.
};

inline constexpr NamedValue<SubmissionOutcome> SubmissionOutcomeNames[] = {
    {SubmissionOutcome::Accepted, "accepted"},
    {SubmissionOutcome::Unchanged, "unchanged"},
    {SubmissionOutcome::Conflict, "conflict"},
    {SubmissionOutcome::Rejected, "rejected"},
    {SubmissionOutcome::Unavailable, "unavailable"},
    {SubmissionOutcome::Unknown, "unknown"},
};

} // namespace quetzallead

#endif // QUETZALLEAD_SUBMISSIONOUTCOME_H
