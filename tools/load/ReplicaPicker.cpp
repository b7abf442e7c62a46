#include "load/ReplicaPicker.h"
#include "quetzallead/ShardSpec.h"

namespace quetzallead {

const BackendServerSpec &ReplicaPicker::pick(const ShardSpec &Shard,
                                             std::uint64_t Draw) {
  PosixMutexLock Guard(&Lock);
  const std::size_t Count = Shard.Servers.size();
  const BackendServerSpec *Best = nullptr;
  int Least = 0;
  for (std::size_t I = 0; I < Count; ++I) {
    const BackendServerSpec &Server = Shard.Servers[(Draw + I) % Count];
    const int Load = InFlight[Server.Name];
    if (Best && Load >= Least)
      continue;
    Best = &Server;
    Least = Load;
  }
  ++InFlight[Best->Name];
  return *Best;
}

void ReplicaPicker::done(const BackendServerSpec &Server) {
  PosixMutexLock Guard(&Lock);
  --InFlight[Server.Name];
}

} // namespace quetzallead
