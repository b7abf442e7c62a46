#ifndef QUETZALLEAD_RELAY_WARMUPPROBER_H
#define QUETZALLEAD_RELAY_WARMUPPROBER_H

#include "core/relay/RelayState.h"
#include "relay/HttpExchange.h"
#include "relay/LoopTimers.h"
#include <memory>
#include <set>

namespace quetzallead {

class BackendClient;
struct HeaderNames;

/// Asks backend servers that may be cold for their health, until they say
/// whether they are. Sends nothing to servers without a cap: probes take a slot
/// of the server.
class WarmUpProber {
public:
  /// The arguments must outlive this object.
  WarmUpProber(LoopTimers &Timers, RelayState &State, BackendClient &Backends,
               const HeaderNames &Headers);

  /// Probes what may be cold, and again until it is known. Call after changes
  /// of the servers, the sheet or the evacuations.
  void update();

private:
  void probe(const ServerRef &Server, const std::string &HealthPath);
  void onResponse(const ServerRef &Server, const HttpExchangeResult &End);

  LoopTimers &Timers;
  RelayState &State;
  BackendClient &Backends;
  const HeaderNames &Headers;
  /// Servers that have not answered yet.
  std::set<ServerRef> Pending;
  std::shared_ptr<LoopTimers::Subscription> Timer;
};

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_WARMUPPROBER_H
