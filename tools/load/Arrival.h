#ifndef QUETZALLEAD_LOAD_ARRIVAL_H
#define QUETZALLEAD_LOAD_ARRIVAL_H

#include "quetzallead/Time.h"
#include <cstddef>
#include <cstdint>

namespace quetzallead {

/// One request of a run, fixed before the run starts.
struct Arrival {
  /// Intended send time, from the start of the run.
  Duration Offset;
  /// Index into LoadPlan::Streams.
  std::size_t Stream = 0;
  /// Position among all arrivals of the run.
  std::uint64_t Sequence = 0;
  /// Random bits that choose key, session and target.
  std::uint64_t Draw = 0;
};

} // namespace quetzallead

#endif // QUETZALLEAD_LOAD_ARRIVAL_H
