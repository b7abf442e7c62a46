#ifndef QUETZALLEAD_TOOLS_MODEL_EXPERIMENTROW_H
#define QUETZALLEAD_TOOLS_MODEL_EXPERIMENTROW_H

#include "model/Spread.h"
#include <string>

namespace quetzallead {

/// One policy under one pattern, over all seeds.
struct ExperimentRow {
  std::string Pattern;
  std::string Policy;
  Spread InTime;
  Spread Served;
  Spread WorstWindow;
  Spread WorstKind;
  Spread WorstZone;
  Spread Coverage;
  Spread ExtraLoad;
  Spread Refusals;
  /// Mean time to a refusal, milliseconds.
  Spread RefusalMillis;
};

} // namespace quetzallead

#endif // QUETZALLEAD_TOOLS_MODEL_EXPERIMENTROW_H
