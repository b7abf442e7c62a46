#ifndef QUETZALLEAD_RELAY_SERVERANNOUNCEMENTS_H
#define QUETZALLEAD_RELAY_SERVERANNOUNCEMENTS_H

#include "core/relay/RelayState.h"
#include "relay/RelayMessages.h"
#include <boost/asio/io_context.hpp>

namespace quetzallead {

class BackendClient;
class RelayMetrics;

/// Applies what backend servers say of themselves in the heads of their
/// responses: that they leave, want a pause, or take a limited number of
/// requests.
class ServerAnnouncements {
public:
  /// The arguments must outlive this object.
  ServerAnnouncements(boost::asio::io_context &Loop, RelayState &State,
                      BackendClient &Backends, RelayMetrics &Metrics,
                      const HeaderNames &Headers);

  /// Handles the head of a response of \p Server. Grants permits later, since
  /// the response is still being parsed.
  void onHead(const ServerRef &Server, const HttpResponseHead &Head);

private:
  void onLeaving(const ServerRef &Server);
  /// \p Time is negative if it cannot be read.
  void onPause(const ServerRef &Server, Duration Time);
  /// \p PerSecond is negative if it cannot be read, and empty if the response
  /// names no limit.
  void onLimit(const ServerRef &Server, std::optional<double> PerSecond);
  void onWarmUp(const ServerRef &Server, Duration Left);
  void grantPermitsLater();

  boost::asio::io_context &Loop;
  RelayState &State;
  BackendClient &Backends;
  RelayMetrics &Metrics;
  const HeaderNames &Headers;
};

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_SERVERANNOUNCEMENTS_H
