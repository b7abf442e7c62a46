#ifndef QUETZALLEAD_DAEMON_SERVEREVENTS_H
#define QUETZALLEAD_DAEMON_SERVEREVENTS_H

#include "quetzallead/AttemptResult.h"
#include <cstddef>

namespace quetzallead {

class ReplicaSet;
struct QueryEnvironment;

/// Passes on the result of an attempt if other instances should hear of it:
/// the backend server is draining, cannot be reached, or ended several attempts
/// in a row without an answer.
void reportServerEvent(const QueryEnvironment &Env, const ReplicaSet &Set,
                       std::size_t Replica, AttemptResult Result);

} // namespace quetzallead

#endif // QUETZALLEAD_DAEMON_SERVEREVENTS_H
