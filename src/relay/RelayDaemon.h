#ifndef QUETZALLEAD_RELAY_RELAYDAEMON_H
#define QUETZALLEAD_RELAY_RELAYDAEMON_H

#include "core/relay/LinkAdmission.h"
#include "core/relay/RelayState.h"
#include "core/relay/SheetHistory.h"
#include "core/relay/StoreContact.h"
#include "relay/AccountExchange.h"
#include "relay/AccountGate.h"
#include "relay/AttemptCodec.h"
#include "relay/BackendClient.h"
#include "relay/CallerSession.h"
#include "relay/CrashExchange.h"
#include "relay/Deployment.h"
#include "relay/GracefulStop.h"
#include "relay/InstanceRegistry.h"
#include "relay/LinkMessages.h"
#include "relay/MemoryGuard.h"
#include "relay/PrefixWatcher.h"
#include "relay/RefusalLog.h"
#include "relay/RejectReason.h"
#include "relay/RelayMetrics.h"
#include "relay/RelaySession.h"
#include "relay/RelaySettings.h"
#include "relay/RequestHandOver.h"
#include "relay/ServerAnnouncements.h"
#include "relay/ServerContactMonitor.h"
#include "relay/StoreLossLog.h"
#include "relay/StoreMonitor.h"
#include "relay/WarmUpProber.h"
#include "relay/ZoneEvacuations.h"
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
  PrefixWatchHandlers sheetHandlers();
  PrefixWatchHandlers serverHandlers();
  std::vector<FeedEntry>
  decodeServers(const std::vector<StoreItem> &Items) const;
  /// Puts the newest version of the sheet among \p Items into force.
  void updateSheet(const std::vector<StoreItem> &Items);
  /// Applies changes of the discovery feed to the pools and connections.
  void applyServerChanges(const std::vector<FeedChange> &Changes);
  /// Handles an attempt that \p Server has not answered: finds out whether the
  /// server has ended.
  void onAttemptLost(const ServerRef &Server, const ForwardedRequest &Call);
  void onServerEnded(const ServerRef &Server, const std::string &Fingerprint,
                     const std::string &RequestId);
  /// Rejects a request under whose content servers have ended. \p Repeated
  /// tells that another home may have run it.
  void rejectBlocked(CallerSession &Caller, const ForwardedRequest &Call,
                     bool Repeated);
  /// Sets the timer that grants permits at \p Due at the latest.
  void schedulePermits(TimePoint Due);
  /// Sets the timer that removes servers whose time to return has passed.
  void scheduleServerExpiry();
  void onRequest(const std::shared_ptr<CallerSession> &Caller,
                 HttpRequest Request);
  /// Rejects \p Call before it is matched to a route.
  void reject(CallerSession &Caller, const ForwardedRequest &Call,
              RejectReason Reason, TimePoint Now,
              Duration RetryAfter = absl::ZeroDuration());
  /// Serves a request from this instance, which must be ready to.
  void serve(const std::shared_ptr<CallerSession> &Caller,
             ForwardedRequest Call, const LinkRequestInfo &Info);
  /// Forwards a request of a caller to a home. \p Repeated tells that this
  /// instance may have run it.
  void forward(const std::shared_ptr<CallerSession> &Caller,
               ForwardedRequest Call, bool Repeated = false);
  HandOverOrigin originOf(const CallerSession &Caller) const;
  /// Tells the asking instance that this one may have run the request.
  void abandonLinkRequest(CallerSession &Asker, const std::string &RequestId);
  void forEachRequest(void (RelaySession::*Event)());
  /// Performs \p Plan and responds to the caller with its result.
  void startSession(const std::shared_ptr<CallerSession> &Caller,
                    RelaySessionContext Context, ForwardedRequest Call,
                    std::shared_ptr<const RouteTable> Table, RelayPlan Plan);
  /// Handles a request of another instance, for which this one is a home.
  void onLinkRequest(const std::shared_ptr<CallerSession> &Asker,
                     HttpRequest Request);
  /// Handles a message that arrives while a request of \p Asker is served;
  /// returns false if it is none.
  bool onLinkMessage(CallerSession &Asker, const HttpRequest &Message);
  void serveLinkRequest(const std::shared_ptr<CallerSession> &Asker,
                        ForwardedRequest Call, const LinkRequestInfo &Info);
  /// Whether and how this home can take \p Call from another instance.
  LinkAdmission admission(const ForwardedRequest &Call,
                          const LinkRequestInfo &Info) const;
  /// Tells the asking instance that this one has not run the request and never
  /// will, except for NotRepeatable: it does if no other home gets it.
  void passBack(CallerSession &Asker, const std::string &RequestId,
                PassBackReason Reason);
  /// Accepts requests of other instances once the secret is known.
  void listenForLinks();
  void onDirectory(const InstanceDirectory &Directory);
  /// Starts to follow the sheet and the backend servers in the store.
  void activate();
  /// Whether requests of callers are served from this instance.
  bool servesItself() const;
  /// Whether this instance can serve requests.
  bool canServe() const;
  /// Asks a home for its sheet if that is newer, and the next one after a
  /// while.
  void fetchSheet();
  void onSheetFetched(const ServerRef &Asked, const HttpExchangeResult &End);
  /// Puts the sheet that a home has returned into force if it is newer; tells
  /// whether it was.
  bool adoptFetched(const std::string &Body);
  /// Puts \p Text into force if it is a newer sheet; tells whether it was.
  bool adoptSheet(absl::string_view Text, std::uint64_t Revision);
  /// Records what \p From says of itself.
  void noteHome(const ServerRef &From, const LinkResponseInfo &Info);
  void noteSheetVersion(std::uint64_t Version);
  /// Whether a newer sheet is known to exist, or none has been read.
  bool sheetBehind() const;
  /// Sends an encoded response to a caller or to an asking instance. The latter
  /// is told what \p Info says of the request, and the state of this instance.
  void respond(CallerSession &Caller, const std::string &RequestId,
               std::string Bytes, bool KeepOpen, LinkResponseInfo Info = {});
  void onReadiness(const std::shared_ptr<CallerSession> &Prober);
  void onScrape(const std::shared_ptr<CallerSession> &Scraper);
  RelaySnapshot snapshot(TimePoint Now) const;
  /// Sends a response that this daemon generates itself.
  void sendLocalResponse(CallerSession &Caller, const std::string &RequestId,
                         unsigned Status, Duration RetryAfter);
  void onResult(CallerSession &Caller, const RelaySession &Session,
                const RelayResult &Verdict);
  /// Logs a completed request and updates the metrics.
  void recordRequestEnd(const RelaySession &Session,
                        const RelayResult &Verdict);
  bool ready() const;
  bool shuttingDown() const { return Shutdown.begun(); }
  void waitForSignal();
  void setUpShutdown();
  void beginShutdown();
  void logShutdown(const char *Event) const;

  RelaySettings Settings;
  Deployment Environment;
  /// Outlives Loop, whose pending handlers keep connections alive.
  MemoryGuard Memory;
  boost::asio::io_context Loop;
  LoopTimers Timers;
  GracefulStop Shutdown;
  LoopSteps Steps;
  RelayState State;
  RelayMetrics Metrics;
  RefusalLog Refusals;
  ServerFeed Feed;
  BackendClient Backends;
  ServerContactMonitor Servers;
  ServerAnnouncements Announcements;
  RequestHandOver HandOvers;
  ZoneEvacuations Evacuations;
  WarmUpProber ColdServers;
  AccountGate Accounts;
  AccountExchange TokenExchange;
  CrashSuspects Suspects;
  CrashExchange Crashes;
  std::unique_ptr<RevisionedStore> Store;
  StoreMonitor StoreCalls;
  StoreLossLog SheetLosses;
  StoreLossLog ServerLosses;
  std::unique_ptr<PrefixWatcher> SheetWatcher;
  std::unique_ptr<PrefixWatcher> ServerWatcher;
  std::unique_ptr<InstanceRegistry> Registry;
  AttemptCodec BackendCodec;
  AttemptCodec LinkCodec;
  std::string LinkSecret;
  /// This instance is among the homes of its zone.
  bool Home = false;
  /// The sheet and the servers are followed in the store.
  bool Active = false;
  SheetHistory Sheets;
  /// Highest sheet version that this instance or a home that it asked has had.
  std::uint64_t NewestSheetVersion = 0;
  bool FetchingSheet = false;
  StoreContact Contact;
  std::size_t SheetFetches = 0;
  /// Fetches since one that brought the sheet up to date.
  std::size_t FailedFetches = 0;
  /// An update could not be applied: the whole sheet is asked for.
  bool WantsWholeSheet = false;
  std::shared_ptr<LoopTimers::Subscription> FetchTimer;
  Acceptor CallerListener;
  Acceptor ReadinessListener;
  Acceptor MetricsListener;
  Acceptor LinkListener;
  boost::asio::signal_set Signals;
  CallerHandlers RequestHandlers;
  CallerHandlers ReadinessHandlers;
  CallerHandlers MetricsHandlers;
  CallerHandlers LinkHandlers;
  std::set<CallerSession *> CallerSessions;
  std::map<CallerSession *, std::shared_ptr<RelaySession>> ActiveRequests;
  TimePoint StartedAt = absl::InfinitePast();
  std::shared_ptr<LoopTimers::Subscription> ExpiryTimer;
  std::shared_ptr<LoopTimers::Subscription> PermitTimer;
  TimePoint PermitsDue = absl::InfiniteFuture();
};

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_RELAYDAEMON_H
