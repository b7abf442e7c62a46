#ifndef QUETZALLEAD_MERGEKIND_H
#define QUETZALLEAD_MERGEKIND_H

#include "quetzallead/NameTable.h"

namespace quetzallead {

/// How the parts of an answer become one.
enum class MergeKind {
  Rows,    ///< Rows of all shards, in key order of the shards.
  Ordered, ///< Rows ordered by a field, cut to a limit.
  Count,   ///< Sum of counts.
  Lookup,  ///< Rows of one key at its shard.
};

inline constexpr NamedValue<MergeKind> MergeKindNames[] = {
    {MergeKind::Rows, "rows"},
    {MergeKind::Ordered, "ordered"},
    {MergeKind::Count, "count"},
    {MergeKind::Lookup, "lookup"},
};

} // namespace quetzallead

#endif // QUETZALLEAD_MERGEKIND_H
