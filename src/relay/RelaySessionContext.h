#ifndef QUETZALLEAD_RELAY_RELAYSESSIONCONTEXT_H
#define QUETZALLEAD_RELAY_RELAYSESSIONCONTEXT_H

namespace quetzallead {

class BackendClient;
class LoopTimers;
class RelayMetrics;
struct HeaderNames;

/// Objects shared by all sessions of a relay, which must outlive them.
struct RelaySessionContext {
  BackendClient &Backends;
  LoopTimers &Timers;
  RelayMetrics &Metrics;
  const HeaderNames &Names;
};

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_RELAYSESSIONCONTEXT_H
