#ifndef QUETZALLEAD_RELAY_RELAYDAEMON_H
#define QUETZALLEAD_RELAY_RELAYDAEMON_H

#include "core/relay/RelayState.h"
#include "relay/BackendClient.h"
#include "relay/CallerSession.h"
#include "relay/Deployment.h"
#include "relay/InstanceRegistry.h"
#include "relay/PrefixWatcher.h"
#include "relay/RejectReason.h"
#include "relay/RelayMetrics.h"
#include "relay/RelaySession.h"
#include "relay/RelaySettings.h"
#include "relay/StopPlan.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <map>
#include <memory>
#include <set>

namespace quetzallead {

/// The relay daemon: accepts caller connections, follows the sheet and the
/// backend servers in the store, and forwards requests to backend servers. Runs
/// on a single thread.
class RelayDaemon {
public:
  RelayDaemon(RelaySettings Settings, Deployment Environment);

  /// Binds the listeners. Fails with Unavailable if an address cannot be bound,
  /// except that of the metrics listener, which is optional.
  Result<bool> listen();
  /// Serves until a graceful shutdown has completed.
  void run();

private:
  using Acceptor = boost::asio::ip::tcp::acceptor;

  Result<bool> bind(Acceptor &Listener, const std::string &Address);
  void accept(Acceptor &Listener, CallerHandlers &Handlers, bool IsCaller);
  void followStore();
  std::vector<FeedEntry>
  decodeServers(const std::vector<StoreItem> &Items) const;
  /// Puts the newest version of the sheet among \p Items into force.
  void updateSheet(const std::vector<StoreItem> &Items);
  /// Applies changes of the discovery feed to the pools and connections.
  void applyServerChanges(const std::vector<FeedChange> &Changes);
  /// Sets the timer that removes servers whose time to return has passed.
  void scheduleServerExpiry();
  void onRequest(const std::shared_ptr<CallerSession> &Caller,
                 HttpRequest Request);
  /// Rejects \p Call before it is matched to a route.
  void reject(CallerSession &Caller, const ForwardedRequest &Call,
              RejectReason Reason, TimePoint Now);
  void onReadiness(const std::shared_ptr<CallerSession> &Prober);
  void onScrape(const std::shared_ptr<CallerSession> &Scraper);
  RelaySnapshot snapshot(TimePoint Now) const;
  /// Sends a response that this daemon generates itself.
  void sendLocalResponse(CallerSession &Caller, unsigned Status,
                         Duration RetryAfter);
  void onResult(CallerSession &Caller, const RelaySession &Session,
                const RelayResult &Verdict);
  /// Logs a completed request and updates the metrics.
  void recordRequestEnd(const RelaySession &Session,
                        const RelayResult &Verdict);
  void logRequest(const RelaySession &Session, const RelayResult &Verdict,
                  TimePoint Now) const;
  bool ready() const;
  bool shuttingDown() const {
    return Shutdown.StartTime != absl::InfiniteFuture();
  }
  void waitForSignal();
  void beginShutdown();
  /// Closes idle connections once that phase is due, and ends the event loop
  /// when all callers have disconnected or the grace period is over.
  void advanceShutdown();

  RelaySettings Settings;
  Deployment Environment;
  boost::asio::io_context Loop;
  LoopTimers Timers;
  RelayState State;
  RelayMetrics Metrics;
  ServerFeed Feed;
  BackendClient Backends;
  std::unique_ptr<RevisionedStore> Store;
  std::unique_ptr<PrefixWatcher> SheetWatcher;
  std::unique_ptr<PrefixWatcher> ServerWatcher;
  std::unique_ptr<InstanceRegistry> Registry;
  Acceptor CallerListener;
  Acceptor ReadinessListener;
  Acceptor MetricsListener;
  boost::asio::signal_set Signals;
  CallerHandlers RequestHandlers;
  CallerHandlers ReadinessHandlers;
  CallerHandlers MetricsHandlers;
  std::set<CallerSession *> CallerSessions;
  std::map<CallerSession *, std::shared_ptr<RelaySession>> ActiveRequests;
  TimePoint StartedAt = absl::InfinitePast();
  StopPlan Shutdown;
  std::shared_ptr<LoopTimers::Subscription> ShutdownTimer;
  std::shared_ptr<LoopTimers::Subscription> ExpiryTimer;
};

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_RELAYDAEMON_H
