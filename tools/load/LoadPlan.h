#ifndef QUETZALLEAD_LOAD_LOADPLAN_H
#define QUETZALLEAD_LOAD_LOADPLAN_H

#include "absl/strings/string_view.h"
#include "load/LoadPhase.h"
#include "load/LoadStream.h"
#include "quetzallead/Error.h"
#include "quetzallead/Time.h"
#include <cstdint>
#include <vector>

namespace quetzallead {

/// What a run of the load driver sends. The same plan and seed give the same
/// requests at the same offsets.
struct LoadPlan {
  std::uint64_t Seed = 1;
  Duration Length = absl::Seconds(10);
  /// Requests that arrive earlier are sent and recorded but not reported.
  Duration Warmup = absl::Seconds(1);
  /// Callers' sessions that the requests are spread over.
  int Sessions = 16;
  std::vector<LoadStream> Streams;
  std::vector<LoadPhase> Phases;
};

/// Longest run that a plan may ask for.
inline constexpr Duration MaxLoadLength = absl::Minutes(10);
/// Most arrivals per second, phases included, that a plan may ask for.
inline constexpr double MaxLoadRate = 20000;

/// Reads a plan from JSON with comments. Fails with InvalidArgument and the
/// field at fault.
Result<LoadPlan> parseLoadPlan(absl::string_view Text);

/// The product of the factors of the phases that hold at \p Offset.
double loadFactorAt(const LoadPlan &Plan, Duration Offset);

/// The largest factor that holds at any time of the run.
double greatestLoadFactor(const LoadPlan &Plan);

} // namespace quetzallead

#endif // QUETZALLEAD_LOAD_LOADPLAN_H
