#ifndef QUETZALLEAD_CAPACITY_SLOPE_H
#define QUETZALLEAD_CAPACITY_SLOPE_H

#include "quetzallead/NameTable.h"
#include <string>

namespace quetzallead {

/// Where a slope's value comes from.
enum class SlopeStatus {
  Measured, ///< A run gave it; Command and Commit say which.
  Assumed,  ///< No run gave it; Command says why it was chosen.
  Missing,  ///< There is no value yet.
};

inline constexpr NamedValue<SlopeStatus> SlopeStatusNames[] = {
    {SlopeStatus::Measured, "measured"},
    {SlopeStatus::Assumed, "assumed"},
    {SlopeStatus::Missing, "missing"},
};

/// What one more unit of something costs.
struct Slope {
  std::string Name;
  double Value = 0;
  std::string Unit;
  SlopeStatus Status = SlopeStatus::Missing;
  /// The greatest size at which it was measured; 0 if size does not matter.
  double MeasuredUpTo = 0;
  std::string Command;
  std::string Commit;
};

} // namespace quetzallead

#endif // QUETZALLEAD_CAPACITY_SLOPE_H
