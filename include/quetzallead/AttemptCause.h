#ifndef QUETZALLEAD_ATTEMPTCAUSE_H
#define QUETZALLEAD_ATTEMPTCAUSE_H

#include "quetzallead/NameTable.h"

namespace quetzallead {

/// Why an attempt was made.
enum class AttemptCause { First, Retry, Hedge };

inline constexpr NamedValue<AttemptCause> AttemptCauseNames[] = {
    {AttemptCause::First, "first"},
    {AttemptCause::Retry, "retry"},
    {AttemptCause::Hedge, "hedge"},
};

} // namespace quetzallead

#endif // QUETZALLEAD_ATTEMPTCAUSE_H
