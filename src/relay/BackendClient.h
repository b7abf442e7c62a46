#ifndef QUETZALLEAD_RELAY_BACKENDCLIENT_H
#define QUETZALLEAD_RELAY_BACKENDCLIENT_H

#include "absl/strings/string_view.h"
#include "core/relay/BackendPool.h"
#include "relay/HttpConnection.h"
#include <map>
#include <memory>
#include <vector>

namespace quetzallead {

/// The connections to backend servers. A connection belongs to one lifetime of
/// a server and carries one request at a time; kept ones go first. Their number
/// stays within what the pools let be in flight. A server that could not be
/// reached is reconnected in the background and rests until that succeeds.
class BackendClient {
public:
  BackendClient(boost::asio::io_context &Loop, LoopTimers &Timers);

  /// Sends \p Request to \p Server; the connection may be closed to cancel it.
  std::shared_ptr<HttpConnection>
  send(const ServerRef &Server, HttpExchange Request, HttpExchangeDone Done);
  /// Opens a first connection ahead of the first request.
  void prepare(const ServerRef &Server);
  /// Closes the idle connections of servers that are gone.
  void dropGone();

private:
  struct Link {
    ServerRef Server;
    std::vector<std::shared_ptr<HttpConnection>> Connections;
    Duration ReconnectWait = absl::ZeroDuration();
    std::shared_ptr<LoopTimers::Subscription> Reconnect;
  };

  Link &link(const ServerRef &Server);
  std::shared_ptr<HttpConnection> open(Link &L);
  std::shared_ptr<HttpConnection> takeIdle(Link &L, TimePoint Now);
  static void count(Link &L);
  static void noteUnreachable(Link &L, absl::string_view Reason);
  static void noteReachable(Link &L);
  void onEnded(const PoolServer *Key, AttemptResult Result, Duration Elapsed);
  void onClosed(const PoolServer *Key, const HttpConnection *Gone,
                bool WasConnected);
  void reconnectLater(Link &L);

  boost::asio::io_context &Loop;
  LoopTimers &Timers;
  std::map<const PoolServer *, Link> Links;
};

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_BACKENDCLIENT_H
