#ifndef QUETZALLEAD_TOOLS_MODEL_MODELREPORT_H
#define QUETZALLEAD_TOOLS_MODEL_MODELREPORT_H

#include "quetzallead/Time.h"
#include <map>
#include <string>
#include <vector>

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

struct ModelReport {
  ModelTally All;
  std::map<std::string, ModelTally> Kinds;
  std::map<std::string, ModelTally> Zones;
  /// Share of the requests that were answered in time, by half seconds of
  /// their arrival.
  std::vector<ModelTally> Windows;
  /// Attempts at servers: the first of a part, and further ones.
  int FirstAttempts = 0;
  int ExtraAttempts = 0;

  double extraLoad() const {
    return FirstAttempts > 0 ? 1.0 * ExtraAttempts / FirstAttempts : 0;
  }
  /// The worst window's share of requests in time.
  double worstWindow() const;
};

std::string describe(const ModelTally &Tally);

} // namespace quetzallead

#endif // QUETZALLEAD_TOOLS_MODEL_MODELREPORT_H
