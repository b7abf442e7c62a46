#ifndef QUETZALLEAD_REPLICAMASK_H
#define QUETZALLEAD_REPLICAMASK_H

#include <cstddef>
#include <cstdint>

namespace quetzallead {

/// Bit set of replicas of one shard, by their index in the replica set.
using ReplicaMask = std::uint64_t;

/// Most replicas one shard can have over the life of a replica set.
inline constexpr std::size_t MaxReplicas = 64;

/// The set that holds only \p Replica.
inline ReplicaMask replicaBit(std::size_t Replica) {
  return ReplicaMask{1} << Replica;
}

} // namespace quetzallead

#endif // QUETZALLEAD_REPLICAMASK_H
