#ifndef QUETZALLEAD_SHEETCHANGE_H
#define QUETZALLEAD_SHEETCHANGE_H

#include "quetzallead/NameTable.h"
#include <string>

namespace quetzallead {

enum class SheetChangeKind { Added, Removed, Changed };

inline constexpr NamedValue<SheetChangeKind> SheetChangeKindNames[] = {
    {SheetChangeKind::Added, "added"},
    {SheetChangeKind::Removed, "removed"},
    {SheetChangeKind::Changed, "changed"},
};

/// One difference between two sheets.
struct SheetChange {
  SheetChangeKind Kind = SheetChangeKind::Changed;
  /// Place by names, such as
  /// "services[register-search].shards[s0].servers[rs-s0-a].slots".
  std::string Path;
  /// The values as JSON; empty where there is none.
  std::string Before;
  std::string After;

  /// One line for people.
  std::string text() const;

  friend bool operator==(const SheetChange &A, const SheetChange &B) {
    return A.Kind == B.Kind && A.Path == B.Path && A.Before == B.Before &&
           A.After == B.After;
  }
};

} // namespace quetzallead

#endif // QUETZALLEAD_SHEETCHANGE_H
