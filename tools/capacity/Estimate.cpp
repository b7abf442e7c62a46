#include "capacity/Estimate.h"
#include "capacity/Slope.h"
#include <algorithm>

namespace quetzallead {

Estimate exactly(double Value) {
  Estimate E;
  E.Value = Value;
  return E;
}

Estimate times(const Slope &Cost, double Count, double Size) {
  Estimate E;
  E.Slopes.push_back(Cost.Name);
  if (Cost.Status == SlopeStatus::Missing)
    return E;
  E.Value = Cost.Value * Count;
  E.Assumed = Cost.Status == SlopeStatus::Assumed;
  if (Size > 0 && Cost.MeasuredUpTo > 0)
    E.Reach = std::max(1.0, Size / Cost.MeasuredUpTo);
  return E;
}

Estimate plus(Estimate A, const Estimate &B) {
  A.Slopes.insert(A.Slopes.end(), B.Slopes.begin(), B.Slopes.end());
  A.Reach = std::max(A.Reach, B.Reach);
  A.Assumed = A.Assumed || B.Assumed;
  if (A.Value && B.Value)
    A.Value = *A.Value + *B.Value;
  else
    A.Value.reset();
  return A;
}

Estimate scaled(Estimate A, double Factor) {
  if (A.Value)
    A.Value = *A.Value * Factor;
  return A;
}

} // namespace quetzallead
