#ifndef QUETZALLEAD_RELAY_BACKENDCLIENT_H
#define QUETZALLEAD_RELAY_BACKENDCLIENT_H

#include "absl/strings/string_view.h"
#include "core/relay/BackendPool.h"
#include "relay/HttpConnection.h"
#include <functional>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <vector>

namespace quetzallead {

/// Told what the connections to backend servers show; those to instances of
/// this tier are left out, but for OnRefused. Each may be empty.
struct BackendObserver {
  /// An attempt has been sent.
  std::function<void()> OnSent;
  /// A server has responded or has accepted a connection.
  std::function<void()> OnHeard;
  /// A server has been marked unreachable.
  std::function<void()> OnUnreachable;
  /// A response was refused.
  std::function<void(const PoolServer &, ResponseDefect)> OnRefused;
};

/// Keep-alive connections to backend servers. A connection belongs to one
/// incarnation of a server and carries one request at a time; idle connections
/// are reused before new ones are opened. The pools' in-flight limits bound the
/// number of connections. A server that could not be reached is ejected and
/// reconnected to in the background until that succeeds.
class BackendClient {
public:
  /// \p Memory, the account of what is held, may be null.
  BackendClient(boost::asio::io_context &Loop, LoopTimers &Timers,
                MemoryGuard *Memory = nullptr);

  /// Sends \p Request to \p Server. Closing the returned connection cancels the
  /// request.
  std::shared_ptr<HttpConnection> send(const ServerRef &Server,
                                       HttpExchange Request,
                                       HttpExchangeCallback Done);
  /// Opens a connection ahead of the first request if there is none yet.
  void preconnect(const ServerRef &Server);
  /// Tells \p Done whether \p Server takes a new connection. Not called if the
  /// server is removed meanwhile.
  void checkAlive(const ServerRef &Server, std::function<void(bool)> Done);
  /// Marks \p Server as out of reach until a new connection is established,
  /// which is tried in the background.
  void markOutOfReach(const ServerRef &Server);
  /// Closes idle connections to servers that are no longer present.
  void closeRemovedServers();

  BackendObserver Observer;

private:
  struct ServerEntry {
    ServerRef Server;
    std::vector<std::shared_ptr<HttpConnection>> Connections;
    Duration ReconnectDelay = absl::ZeroDuration();
    std::shared_ptr<LoopTimers::Subscription> ReconnectTimer;
    /// Called when the next connection is open or could not be opened.
    std::vector<std::function<void(bool)>> AliveChecks;
  };

  ServerEntry &entryFor(const ServerRef &Server);
  std::shared_ptr<HttpConnection> openConnection(ServerEntry &Entry);
  std::shared_ptr<HttpConnection> selectConnection(ServerEntry &Entry,
                                                   TimePoint Now);
  static void updateIdleCount(ServerEntry &Entry);
  void markUnreachable(ServerEntry &Entry, absl::string_view Reason);
  static void markReachable(ServerEntry &Entry);
  void onHeard(const ServerEntry &Entry);
  /// Closes the idle connections to a server that was unreachable, except the
  /// new one: the others may be silent still.
  static void closeOlderConnections(ServerEntry &Entry,
                                    const HttpConnection *New);
  static void finishAliveChecks(ServerEntry &Entry, bool Alive);
  void onExchangeEnd(const PoolServer *Key, const HttpExchangeResult &End,
                     Duration Elapsed);
  void onClosed(const PoolServer *Key, const HttpConnection *Closed,
                ConnectionEnd End);
  void scheduleReconnect(ServerEntry &Entry);

  boost::asio::io_context &Loop;
  LoopTimers &Timers;
  MemoryGuard *Memory;
  std::map<const PoolServer *, ServerEntry> Entries;
  pcg32 Engine;
};

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_BACKENDCLIENT_H
