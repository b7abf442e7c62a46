#ifndef QUETZALLEAD_RELAY_REQUESTHANDOVER_H
#define QUETZALLEAD_RELAY_REQUESTHANDOVER_H

#include "core/relay/HandOver.h"
#include "core/relay/RelayState.h"
#include "relay/ForwardedRequest.h"
#include <functional>
#include <memory>

namespace quetzallead {

class CallerSession;
class RelayMetrics;
class ServerContactMonitor;

/// Where a request that may have to be handed over came from.
struct HandOverOrigin {
  /// Another instance rather than a caller.
  bool FromInstance = false;
  /// Requests can be forwarded: the secret of the links is known.
  bool HasLinks = false;
  /// Another instance could not serve it.
  bool HandedOver = false;
};

/// Hands requests over that this instance cannot serve because it reaches no
/// backend server for them: collects what chooseHandOver() asks for, and lets
/// the daemon perform the choice.
class RequestHandOver {
public:
  using CallerRef = std::shared_ptr<CallerSession>;

  /// The arguments must outlive this object.
  RequestHandOver(const RelayState &State, ServerContactMonitor &Servers,
                  RelayMetrics &Metrics);

  /// Forwards a request of a caller to a home; \p Repeated tells that a backend
  /// server may have got it. Must be set, like the following ones.
  std::function<void(const CallerRef &, const ForwardedRequest &,
                     bool Repeated)>
      ForwardToHome;
  /// Tells the asking instance that the request has not been run.
  std::function<void(const CallerRef &, const ForwardedRequest &)> PassBack;
  /// Tells the asking instance that it may have been run.
  std::function<void(const CallerRef &, const ForwardedRequest &)> Abandon;

  /// Hands over \p Call, which this instance has not begun, if it has to;
  /// returns false if the request is to be served here.
  bool beforeServing(const CallerRef &Caller, const ForwardedRequest &Call,
                     const Route &Matched, const HandOverOrigin &Origin);
  /// Hands over \p Call, which has failed here with \p Outcome, if it can be;
  /// returns false if the request ends here.
  bool afterFailure(const CallerRef &Caller, const ForwardedRequest &Call,
                    const RelayRequest &Failed, RelayOutcome Outcome,
                    HandOverOrigin Origin);
  /// Records that no home could serve a request of \p RouteName.
  void onReturnedUnserved(const std::string &RouteName, TimePoint Now);

private:
  HandOverQuestion question(const Route &Matched,
                            const HandOverOrigin &Origin) const;
  bool perform(const CallerRef &Caller, const ForwardedRequest &Call,
               const Route &Matched, const HandOverQuestion &Question);

  const RelayState &State;
  ServerContactMonitor &Servers;
  RelayMetrics &Metrics;
};

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_REQUESTHANDOVER_H
