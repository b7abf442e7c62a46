#ifndef QUETZALLEAD_CAPACITY_CONTROLCOST_H
#define QUETZALLEAD_CAPACITY_CONTROLCOST_H

#include "capacity/Estimate.h"

namespace quetzallead {

/// What control costs one instance on average: membership, sheet and the state
/// kept of backend servers.
struct ControlCost {
  /// Per cent of one core.
  Estimate ProcessorPercent;
  Estimate MemoryMegabytes;
  Estimate KilobytesPerSecond;
};

/// What control may cost one instance, in the units of ControlCost.
struct ControlBudget {
  static constexpr double ProcessorPercent = 1.1;
  static constexpr double MemoryMegabytes = 32;
  static constexpr double KilobytesPerSecond = 10;
};

} // namespace quetzallead

#endif // QUETZALLEAD_CAPACITY_CONTROLCOST_H
