#ifndef QUETZALLEAD_RELAY_RELAYPARTS_H
#define QUETZALLEAD_RELAY_RELAYPARTS_H

namespace quetzallead {

class BackendClient;
class LoopTimers;
class RelayMetrics;
struct HeaderNames;

/// What all sessions of a relay use.
struct RelayParts {
  BackendClient &Backends;
  LoopTimers &Timers;
  RelayMetrics &Metrics;
  const HeaderNames &Names;
};

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_RELAYPARTS_H
