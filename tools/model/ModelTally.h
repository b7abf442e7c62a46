#ifndef QUETZALLEAD_TOOLS_MODEL_MODELTALLY_H
#define QUETZALLEAD_TOOLS_MODEL_MODELTALLY_H

#include "quetzallead/Time.h"

namespace quetzallead {

/// What became of the requests of one kind, or of one zone's callers.
struct ModelTally {
  int Asked = 0;
  /// Answered within the objective, counted from the first try.
  int InTime = 0;
  int Late = 0;
  /// Never answered.
  int Failed = 0;
  /// Sum of the shares of shards in the answers.
  double Coverage = 0;
  /// Tries that were refused unrun, and those of them that were told so within
  /// a tenth of the objective.
  int Refusals = 0;
  int RefusedAtOnce = 0;
  Duration RefusalTime = absl::ZeroDuration();

  double inTimeShare() const { return Asked > 0 ? 1.0 * InTime / Asked : 1; }
  double servedShare() const {
    return Asked > 0 ? 1.0 * (InTime + Late) / Asked : 1;
  }
  double meanCoverage() const {
    return InTime + Late > 0 ? Coverage / (InTime + Late) : 1;
  }
};

} // namespace quetzallead

#endif // QUETZALLEAD_TOOLS_MODEL_MODELTALLY_H
