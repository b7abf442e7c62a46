#ifndef QUETZALLEAD_LOAD_REPLICAPICKER_H
#define QUETZALLEAD_LOAD_REPLICAPICKER_H

#include "absl/container/flat_hash_map.h"
#include "quetzallead/PosixMutex.h"
#include <cstdint>
#include <string>

namespace quetzallead {

struct ShardSpec;
struct BackendServerSpec;

/// Picks the replica with the fewest requests of this process in flight; the
/// only chooser, it knows every load. Thread-safe.
class ReplicaPicker {
public:
  /// Counts one more request on the server that it returns. \p Draw breaks
  /// ties. \p Shard must have a server.
  const BackendServerSpec &pick(const ShardSpec &Shard, std::uint64_t Draw);
  /// Counts one request less on \p Server.
  void done(const BackendServerSpec &Server);

private:
  PosixMutex Lock;
  absl::flat_hash_map<std::string, int> InFlight ABSL_GUARDED_BY(Lock);
};

} // namespace quetzallead

#endif // QUETZALLEAD_LOAD_REPLICAPICKER_H
