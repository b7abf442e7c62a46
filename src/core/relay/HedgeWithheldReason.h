#ifndef QUETZALLEAD_CORE_RELAY_HEDGEWITHHELDREASON_H
#define QUETZALLEAD_CORE_RELAY_HEDGEWITHHELDREASON_H

#include "quetzallead/NameTable.h"

namespace quetzallead {

/// Why a due hedge was withheld.
enum class HedgeWithheldReason {
  None,          ///< No hedge was withheld.
  Budget,        ///< The extra-load budget had too little left.
  NoServer,      ///< No other server was reachable, healthy and lightly loaded.
  MostPartsOpen, ///< Most parts of the survey were late, not only this one.
};

inline constexpr NamedValue<HedgeWithheldReason> HedgeWithheldReasonNames[] = {
    {HedgeWithheldReason::None, "none"},
    {HedgeWithheldReason::Budget, "budget"},
    {HedgeWithheldReason::NoServer, "no_server"},
    {HedgeWithheldReason::MostPartsOpen, "most_parts_open"},
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_HEDGEWITHHELDREASON_H
