#ifndef QUETZALLEAD_TRANSPORT_PLATFORM_READOUTCOME_H
#define QUETZALLEAD_TRANSPORT_PLATFORM_READOUTCOME_H

#include "quetzallead/NameTable.h"

namespace quetzallead {

/// What came of a read from the platform.
enum class ReadOutcome {
  Answered,
  Unavailable, ///< No usable answer: not reached, late, or an error status.
  Malformed,   ///< An answer that does not follow the protocol.
};

inline constexpr NamedValue<ReadOutcome> ReadOutcomeNames[] = {
    {ReadOutcome::Answered, "answered"},
    {ReadOutcome::Unavailable, "unavailable"},
    {ReadOutcome::Malformed, "malformed"},
};

} // namespace quetzallead

#endif // QUETZALLEAD_TRANSPORT_PLATFORM_READOUTCOME_H
