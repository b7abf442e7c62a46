#ifndef QUETZALLEAD_TOOLS_MODEL_EXPERIMENT_H
#define QUETZALLEAD_TOOLS_MODEL_EXPERIMENT_H

#include "model/ModelReport.h"
#include "model/ModelSetup.h"
#include <functional>
#include <string>
#include <vector>

namespace quetzallead {

/// A load with what goes wrong in it.
struct LoadPattern {
  const char *Name;
  const char *Summary;
  void (*Apply)(ModelSetup &);
};

/// A way to decide; differs from the others by its settings only.
struct Policy {
  const char *Name;
  const char *Summary;
  void (*Apply)(ModelSetup &);
};

const std::vector<LoadPattern> &loadPatterns();
const std::vector<Policy> &policies();

/// Null if there is none called \p Name.
const LoadPattern *findPattern(const std::string &Name);
const Policy *findPolicy(const std::string &Name);

/// The fleet that an experiment plays on.
struct ExperimentSize {
  int Instances = 9;
  int Zones = 3;
  int Shards = 10;
  int Replicas = 3;
  /// Share of the capacity of a shard that arrives.
  double Load = 0.3;
  Duration Length = absl::Seconds(20);
};

/// A survey and an urgent quick one on every shard, and lookups that cannot be
/// repeated on the first, on \p Size, with callers that try once more.
ModelSetup makeSetup(const ExperimentSize &Size, std::uint64_t Seed);

/// A figure over several seeds.
struct Spread {
  double Least = 0;
  double Mean = 0;
  double Most = 0;
};

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

ExperimentRow runExperiment(const LoadPattern &Pattern, const Policy &Chosen,
                            const ExperimentSize &Size, int Seeds);

/// A table for people, a line a row.
std::string formatRows(const std::vector<ExperimentRow> &Rows);

} // namespace quetzallead

#endif // QUETZALLEAD_TOOLS_MODEL_EXPERIMENT_H
