#ifndef QUETZALLEAD_LOAD_LOADPHASE_H
#define QUETZALLEAD_LOAD_LOADPHASE_H

#include "quetzallead/Time.h"

namespace quetzallead {

/// A span of the run in which all rates are multiplied by a factor.
struct LoadPhase {
  /// Offsets from the start of the run.
  Duration From;
  Duration To;
  double Factor = 1;
};

} // namespace quetzallead

#endif // QUETZALLEAD_LOAD_LOADPHASE_H
