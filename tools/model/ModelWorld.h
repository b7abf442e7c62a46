#ifndef QUETZALLEAD_TOOLS_MODEL_MODELWORLD_H
#define QUETZALLEAD_TOOLS_MODEL_MODELWORLD_H

#include "model/ModelReport.h"
#include "model/ModelSetup.h"

namespace quetzallead {

/// Plays \p Setup in virtual time: the decision code of all instances, servers
/// with slots and a queue of their own, and callers that arrive at random, all
/// drawn from the seed.
ModelReport playModel(const ModelSetup &Setup);

} // namespace quetzallead

#endif // QUETZALLEAD_TOOLS_MODEL_MODELWORLD_H
