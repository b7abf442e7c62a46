#include "model/ModelReport.h"
#include "absl/strings/str_cat.h"
#include <algorithm>

namespace quetzallead {

/// Windows with fewer requests say little.
static constexpr int LeastInWindow = 10;

double ModelReport::worstWindow() const {
  double Worst = 1;
  for (const ModelTally &T : Windows)
    if (T.Asked >= LeastInWindow)
      Worst = std::min(Worst, T.inTimeShare());
  return Worst;
}

std::string describe(const ModelTally &T) {
  return absl::StrCat("asked ", T.Asked, ", in time ", T.InTime, ", late ",
                      T.Late, ", failed ", T.Failed, ", refusals ", T.Refusals,
                      ", at once ", T.RefusedAtOnce, ", coverage ",
                      T.meanCoverage());
}

} // namespace quetzallead
