#ifndef QUETZALLEAD_LOAD_LOADRUNNER_H
#define QUETZALLEAD_LOAD_LOADRUNNER_H

#include "load/LoadRecord.h"
#include "load/LoadSender.h"
#include <vector>

namespace quetzallead {

class TimerService;
struct Arrival;

/// Sends every arrival at its offset from \p Start, whatever came of the
/// earlier ones, and returns the records in the order of the arrivals. Blocks
/// until the last request has ended.
std::vector<LoadRecord> runLoad(const std::vector<Arrival> &Arrivals,
                                TimePoint Start, TimerService &Timer,
                                const LoadSender &Send);

} // namespace quetzallead

#endif // QUETZALLEAD_LOAD_LOADRUNNER_H
