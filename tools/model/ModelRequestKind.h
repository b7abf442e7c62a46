#ifndef QUETZALLEAD_TOOLS_MODEL_MODELREQUESTKIND_H
#define QUETZALLEAD_TOOLS_MODEL_MODELREQUESTKIND_H

#include "core/relay/Route.h"
#include "quetzallead/Time.h"

namespace quetzallead {

/// One kind of request that callers send.
struct ModelRequestKind {
  /// Name, kind, rank, objective, timeout, attempts and coverage are used; the
  /// services are the model's shards.
  Route Taken;
  /// Survey of all shards, or one server of the first shard.
  bool Survey = true;
  /// Part of all requests, relative to the other kinds.
  double Share = 1;
  /// Mean time in a server's slot; drawn evenly from 0.7 to 1.3 of it.
  Duration Work = absl::Milliseconds(10);
  /// How long a caller waits, with its further tries.
  Duration Patience = absl::Milliseconds(600);
  /// Further tries of a caller that was refused or got no answer.
  int Retries = 0;
};

} // namespace quetzallead

#endif // QUETZALLEAD_TOOLS_MODEL_MODELREQUESTKIND_H
