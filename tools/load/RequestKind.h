#ifndef QUETZALLEAD_LOAD_REQUESTKIND_H
#define QUETZALLEAD_LOAD_REQUESTKIND_H

#include "quetzallead/NameTable.h"

namespace quetzallead {

/// The three requests that callers make.
enum class RequestKind {
  Survey,  ///< Asks every shard of a service.
  Lookup,  ///< Asks the shard of one key.
  Command, ///< Runs at most once, on the shard of one key.
};

inline constexpr NamedValue<RequestKind> RequestKindNames[] = {
    {RequestKind::Survey, "survey"},
    {RequestKind::Lookup, "lookup"},
    {RequestKind::Command, "command"},
};

} // namespace quetzallead

#endif // QUETZALLEAD_LOAD_REQUESTKIND_H
