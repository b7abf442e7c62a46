#ifndef QUETZALLEAD_CAPACITY_ESTIMATE_H
#define QUETZALLEAD_CAPACITY_ESTIMATE_H

#include <optional>
#include <string>
#include <vector>

namespace quetzallead {

struct Slope;

/// A figure together with what it rests on.
struct Estimate {
  /// None if a slope that it needs is missing.
  std::optional<double> Value;
  /// Names of the slopes that it was worked out from.
  std::vector<std::string> Slopes;
  /// How far beyond the measured sizes it lies; 1 if within them.
  double Reach = 1;
  /// True if a slope was assumed.
  bool Assumed = false;
};

/// A figure that is arithmetic on the fleet's size alone.
Estimate exactly(double Value);

/// \p Cost times \p Count. \p Size is what the slope's measured size compares
/// with; 0 if size does not matter.
Estimate times(const Slope &Cost, double Count, double Size = 0);

/// The sum of \p A and \p B, resting on the slopes of both.
Estimate plus(Estimate A, const Estimate &B);

/// \p A in another unit.
Estimate scaled(Estimate A, double Factor);

} // namespace quetzallead

#endif // QUETZALLEAD_CAPACITY_ESTIMATE_H
