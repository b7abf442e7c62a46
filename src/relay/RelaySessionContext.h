#ifndef QUETZALLEAD_RELAY_RELAYSESSIONCONTEXT_H
#define QUETZALLEAD_RELAY_RELAYSESSIONCONTEXT_H

#include <string>

namespace quetzallead {

class BackendClient;
class LoopTimers;
class MemoryGuard;
class RelayMetrics;
struct AttemptCodec;

/// Objects shared by all sessions of a relay, which must outlive them.
struct RelaySessionContext {
  BackendClient &Backends;
  LoopTimers &Timers;
  RelayMetrics &Metrics;
  const AttemptCodec &Codec;
  /// Header by which a response is matched to its request.
  const std::string &EchoHeader;
  /// The account of what is held; may be null.
  MemoryGuard *Memory = nullptr;
};

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_RELAYSESSIONCONTEXT_H
