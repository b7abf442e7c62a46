#include "core/relay/Route.h"
#include <algorithm>
#include <cmath>

namespace quetzallead {

std::size_t neededParts(const Route &R) {
  if (R.Target != RouteTarget::Survey)
    return 1;
  // The epsilon keeps rounding errors from raising 0.9 * 10 to 10.
  const double Needed =
      R.MinCoverage * static_cast<double>(R.Services.size()) - 1e-9;
  return std::max<std::size_t>(1, static_cast<std::size_t>(std::ceil(Needed)));
}

bool permitsSecondHome(const Route &R, int AskersLimit) {
  return R.Kind == RequestKind::Idempotent && R.MaxAttempts >= 2 &&
         R.MaxAttempts >= AskersLimit;
}

} // namespace quetzallead
