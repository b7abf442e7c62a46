#ifndef QUETZALLEAD_CAPACITY_CAPACITYMODEL_H
#define QUETZALLEAD_CAPACITY_CAPACITYMODEL_H

#include "capacity/CapacityRow.h"
#include "capacity/ControlCost.h"
#include <vector>

namespace quetzallead {

struct FleetSize;
class SlopeTable;

/// The figures of every role at \p Size.
std::vector<CapacityRow> makeCapacityRows(const FleetSize &Size,
                                          const SlopeTable &Slopes);

/// What control costs one instance at \p Size.
ControlCost makeControlCost(const FleetSize &Size, const SlopeTable &Slopes);

} // namespace quetzallead

#endif // QUETZALLEAD_CAPACITY_CAPACITYMODEL_H
