#include "daemon/ServerEvents.h"
#include "daemon/QueryEnvironment.h"
#include "quetzallead/ReplicaSet.h"

namespace quetzallead {

void reportServerEvent(const QueryEnvironment &Env, const ReplicaSet &Set,
                       std::size_t Replica, AttemptResult Result) {
  bool Worth =
      Result == AttemptResult::Draining || Result == AttemptResult::NotSent ||
      (Result == AttemptResult::Lost && Set.belief(Replica).NeedsProbe);
  if (Worth && Env.OnServerEvent)
    Env.OnServerEvent(Set.spec(Replica).Name, Result);
}

} // namespace quetzallead
