#ifndef QUETZALLEAD_SHARDSPEC_H
#define QUETZALLEAD_SHARDSPEC_H

#include "quetzallead/BackendServerSpec.h"
#include <string>
#include <vector>

namespace quetzallead {

/// One shard of a service: the keys from From up to, but without, To.
struct ShardSpec {
  std::string Name;
  /// First key; empty for the first shard.
  std::string From;
  /// First key of the next shard; empty for the last shard.
  std::string To;
  /// The replicas, each a whole copy of the shard.
  std::vector<BackendServerSpec> Servers;

  friend bool operator==(const ShardSpec &A, const ShardSpec &B) {
    return A.Name == B.Name && A.From == B.From && A.To == B.To &&
           A.Servers == B.Servers;
  }
};

} // namespace quetzallead

#endif // QUETZALLEAD_SHARDSPEC_H
