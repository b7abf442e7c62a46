#ifndef QUETZALLEAD_LOAD_ARRIVALPROCESS_H
#define QUETZALLEAD_LOAD_ARRIVALPROCESS_H

#include "load/Arrival.h"
#include <vector>

namespace quetzallead {

struct LoadPlan;

/// The arrivals of \p Plan in order of time: for each stream a Poisson process
/// of its own whose rate follows the phases. A pure function of the plan.
std::vector<Arrival> makeArrivals(const LoadPlan &Plan);

} // namespace quetzallead

#endif // QUETZALLEAD_LOAD_ARRIVALPROCESS_H
