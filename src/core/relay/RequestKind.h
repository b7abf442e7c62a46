#ifndef QUETZALLEAD_CORE_RELAY_REQUESTKIND_H
#define QUETZALLEAD_CORE_RELAY_REQUESTKIND_H

#include "quetzallead/NameTable.h"

namespace quetzallead {

/// How often one request of a caller may be executed.
enum class RequestKind {
  Idempotent, ///< May be executed more than once.
  AtMostOnce, ///< Must not be sent again once it may have been executed.
};

inline constexpr NamedValue<RequestKind> RequestKindNames[] = {
    {RequestKind::Idempotent, "idempotent"},
    {RequestKind::AtMostOnce, "at_most_once"},
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_REQUESTKIND_H
