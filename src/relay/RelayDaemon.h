#ifndef QUETZALLEAD_RELAY_RELAYDAEMON_H
#define QUETZALLEAD_RELAY_RELAYDAEMON_H

#include "core/relay/RelayState.h"
#include "relay/BackendClient.h"
#include "relay/CallerSession.h"
#include "relay/Deployment.h"
#include "relay/FleetCount.h"
#include "relay/KeyFollower.h"
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

/// One running relay: accepts callers, follows sheet and servers in the store,
/// and carries requests to backend servers, all on one thread.
class RelayDaemon {
public:
  RelayDaemon(RelaySettings Settings, Deployment Surroundings);

  /// Binds the listeners. Fails with Unavailable.
  Result<bool> listen();
  /// Serves until a planned stop is over.
  void run();

private:
  using Acceptor = boost::asio::ip::tcp::acceptor;

  Result<bool> bind(Acceptor &Listener, const std::string &Address);
  void accept(Acceptor &Listener, CallerHandlers &Handlers, bool Caller);
  void followStore();
  std::vector<FeedEntry>
  decodeServers(const std::vector<StoreItem> &Items) const;
  void takeSheet(const std::vector<StoreItem> &Items);
  void takeServers(const std::vector<FeedChange> &Changes);
  void expireServers();
  void onRequest(const std::shared_ptr<CallerSession> &Caller,
                 HttpRequest Request);
  /// Turns \p Call away before it meets a route.
  void reject(CallerSession &Caller, const RelayCall &Call, RejectReason Reason,
              TimePoint Now);
  void onReadiness(const std::shared_ptr<CallerSession> &Prober);
  void onScrape(const std::shared_ptr<CallerSession> &Scraper);
  RelaySnapshot snapshot(TimePoint Now) const;
  void own(CallerSession &Caller, unsigned Status, Duration RetryAfter);
  void onVerdict(CallerSession &Caller, const RelaySession &Session,
                 const RelayVerdict &Verdict);
  /// Logs and counts a request that has ended.
  void noteEnd(const RelaySession &Session, const RelayVerdict &Verdict);
  void logRequest(const RelaySession &Session, const RelayVerdict &Verdict,
                  TimePoint Now) const;
  bool ready() const;
  bool stopping() const { return Stop.Begun != absl::InfiniteFuture(); }
  void waitForSignal();
  void beginStop();
  void stopStep();

  RelaySettings Settings;
  Deployment Surroundings;
  boost::asio::io_context Loop;
  LoopTimers Timers;
  RelayState State;
  RelayMetrics Metrics;
  ServerFeed Feed;
  BackendClient Backends;
  std::unique_ptr<RevisionedStore> Store;
  std::unique_ptr<KeyFollower> SheetFollower;
  std::unique_ptr<KeyFollower> ServerFollower;
  std::unique_ptr<FleetCount> Fleet;
  Acceptor CallerListener;
  Acceptor ReadinessListener;
  Acceptor MetricsListener;
  boost::asio::signal_set Signals;
  CallerHandlers CallerParts;
  CallerHandlers ReadinessParts;
  CallerHandlers MetricsParts;
  std::set<CallerSession *> Callers;
  std::map<CallerSession *, std::shared_ptr<RelaySession>> Active;
  TimePoint StartedAt = absl::InfinitePast();
  StopPlan Stop;
  std::shared_ptr<LoopTimers::Subscription> StopTimer;
  std::shared_ptr<LoopTimers::Subscription> ExpiryTimer;
};

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_RELAYDAEMON_H
