#ifndef QUETZALLEAD_CORE_RELAY_REQUESTKIND_H
#define QUETZALLEAD_CORE_RELAY_REQUESTKIND_H

#include "quetzallead/NameTable.h"

namespace quetzallead {

/// How often a backend server may run one request of a caller.
enum class RequestKind {
  Idempotent, ///< May run more than once.
  AtMostOnce, ///< Must not run again once it may have run.
};

inline constexpr NamedValue<RequestKind> RequestKindNames[] = {
    {RequestKind::Idempotent, "idempotent"},
    {RequestKind::AtMostOnce, "at_most_once"},
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_REQUESTKIND_H
