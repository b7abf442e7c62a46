#ifndef QUETZALLEAD_TOOLS_MODEL_EXPERIMENTSIZE_H
#define QUETZALLEAD_TOOLS_MODEL_EXPERIMENTSIZE_H

#include "quetzallead/Time.h"

namespace quetzallead {

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

} // namespace quetzallead

#endif // QUETZALLEAD_TOOLS_MODEL_EXPERIMENTSIZE_H
