#ifndef QUETZALLEAD_CAPACITY_CAPACITYPAGE_H
#define QUETZALLEAD_CAPACITY_CAPACITYPAGE_H

#include "capacity/CapacityRow.h"
#include <string>
#include <vector>

namespace quetzallead {

struct ControlCost;
class SlopeTable;

/// The line of the page after which the worked-out tables stand, to its end.
inline constexpr const char *CapacityTablesHeading = "## Figures";

/// \p Rows as a table in Markdown, one line a figure.
std::string formatCapacityRows(const std::vector<CapacityRow> &Rows);

/// \p Cost against the budget, in Markdown.
std::string formatControlCost(const ControlCost &Cost);

/// The slopes with what gave them, in Markdown.
std::string formatSlopes(const SlopeTable &Slopes);

/// All tables as the page carries them, heading included.
std::string formatCapacityTables(const std::vector<CapacityRow> &Rows,
                                 const ControlCost &Cost,
                                 const SlopeTable &Slopes);

} // namespace quetzallead

#endif // QUETZALLEAD_CAPACITY_CAPACITYPAGE_H
