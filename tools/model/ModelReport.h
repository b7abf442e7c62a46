#ifndef QUETZALLEAD_TOOLS_MODEL_MODELREPORT_H
#define QUETZALLEAD_TOOLS_MODEL_MODELREPORT_H

#include "model/ModelTally.h"
#include <map>
#include <string>
#include <vector>

namespace quetzallead {

/// What became of all requests of a run.
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
