#ifndef QUETZALLEAD_TOOLS_MODEL_EXPERIMENT_H
#define QUETZALLEAD_TOOLS_MODEL_EXPERIMENT_H

#include "model/DecisionPolicy.h"
#include "model/ExperimentRow.h"
#include "model/ExperimentSize.h"
#include "model/LoadPattern.h"
#include "model/ModelSetup.h"
#include <cstdint>
#include <string>
#include <vector>

namespace quetzallead {

const std::vector<LoadPattern> &loadPatterns();
const std::vector<DecisionPolicy> &policies();

/// Null if there is none called \p Name.
const LoadPattern *findPattern(const std::string &Name);
const DecisionPolicy *findPolicy(const std::string &Name);

/// A survey and an urgent quick one on every shard, and lookups that cannot be
/// repeated on the first, on \p Size, with callers that try once more.
ModelSetup makeSetup(const ExperimentSize &Size, std::uint64_t Seed);

ExperimentRow runExperiment(const LoadPattern &Pattern,
                            const DecisionPolicy &Chosen,
                            const ExperimentSize &Size, int Seeds);

/// A table for people, a line a row.
std::string formatRows(const std::vector<ExperimentRow> &Rows);

} // namespace quetzallead

#endif // QUETZALLEAD_TOOLS_MODEL_EXPERIMENT_H
