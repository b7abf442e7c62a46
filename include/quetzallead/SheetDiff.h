#ifndef QUETZALLEAD_SHEETDIFF_H
#define QUETZALLEAD_SHEETDIFF_H

#include <vector>

namespace quetzallead {

struct Sheet;
struct SheetChange;

/// What changes from \p Before to \p After, in the order of \p After. Elements
/// are matched by name; one whose name is in only one sheet is Added or
/// Removed as a whole. Empty if and only if the sheets are equal.
std::vector<SheetChange> diffSheets(const Sheet &Before, const Sheet &After);

} // namespace quetzallead

#endif // QUETZALLEAD_SHEETDIFF_H
