#ifndef QUETZALLEAD_WRITEOUTCOME_H
#define QUETZALLEAD_WRITEOUTCOME_H

#include "quetzallead/NameTable.h"

namespace quetzallead {

/// What is known of a write to the platform's store.
enum class WriteOutcome {
  Applied,     ///< The store confirmed it.
  Refused,     ///< The store compared and did not apply it.
  Unavailable, ///< It was not applied: not sent, or rejected unread.
  Unknown,     ///< It may have been applied; only reading back can tell.
};

inline constexpr NamedValue<WriteOutcome> WriteOutcomeNames[] = {
    {WriteOutcome::Applied, "applied"},
    {WriteOutcome::Refused, "refused"},
    {WriteOutcome::Unavailable, "unavailable"},
    {WriteOutcome::Unknown, "unknown"},
};

} // namespace quetzallead

#endif // QUETZALLEAD_WRITEOUTCOME_H
