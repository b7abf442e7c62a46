#include "relay/RelayDaemon.h"
#include "absl/hash/hash.h"
#include "runtime/Endpoint.h"
#include "runtime/Logger.h"
#include <algorithm>
#include <csignal>
#include <xxhash.h>

namespace quetzallead {

namespace asio = boost::asio;
using boost::system::error_code;

/// Bounds of what callers of an instance are told that has not read sheet and
/// servers yet. Mostly that takes some 10 ms; where it has taken long already,
/// it may take as long again.
static constexpr Duration LeastUnreadyRetryAfter = absl::Milliseconds(30);
static constexpr Duration MostUnreadyRetryAfter = absl::Seconds(1);
/// Told to callers of an instance that is about to end; another one has room.
static constexpr Duration StoppingRetryAfter = absl::Milliseconds(10);
/// Between changes of servers and the next watch: a server's start or stop is
/// several changes, and each wakes every instance.
static constexpr Duration ServerBatchPause = absl::Milliseconds(1000);
/// The same for sheets: versions that come in quick succession are taken
/// together, well within the seconds in which one has to be in force.
static constexpr Duration SheetBatchPause = absl::Milliseconds(200);
/// For calls to the store, and requests on their way, in the time that a
/// leaving server still serves.
static constexpr Duration LeavingMargin = absl::Milliseconds(600);
/// Between two looks at a stop.
static constexpr Duration StopStep = absl::Milliseconds(50);
/// Of the requests that went well, one in this many leaves a log line: enough
/// to compare a failure with.
static constexpr std::uint64_t ServedSampleRate = 200;
/// Characters of a request's target in a log line.
static constexpr std::size_t MostLoggedTarget = 200;
/// Before the accepting of callers goes on when there are no descriptors.
static constexpr Duration AcceptPause = absl::Milliseconds(50);

static RelayStateOptions stateOptions(const RelaySettings &S) {
  RelayStateOptions Options;
  Options.Zone = S.Zone;
  Options.ExtraLoad = S.ExtraLoad;
  Options.Seed = absl::Hash<std::string>()(S.Instance);
  return Options;
}

/// A vanished server may be used again only so long that the last request
/// reaches it within the time in which it still serves.
static Duration loneReturnTime(const RelaySettings &S) {
  return std::clamp(S.LeavingTime - ServerBatchPause - LeavingMargin,
                    absl::ZeroDuration(), S.ReturnTime);
}

/// Handlers of a listener that answers every request at once by \p Answer.
static CallerHandlers
answering(std::function<void(const std::shared_ptr<CallerSession> &)> Answer) {
  CallerHandlers Handlers;
  Handlers.OnRequest =
      [Answer = std::move(Answer)](const std::shared_ptr<CallerSession> &Asker,
                                   const HttpRequest &) { Answer(Asker); };
  Handlers.OnLeft = [](CallerSession &) {};
  Handlers.OnClosed = [](CallerSession &) {};
  Handlers.Limits = [] { return ClientLimits(); };
  Handlers.Closing = [] { return false; };
  return Handlers;
}

RelayDaemon::RelayDaemon(RelaySettings GivenSettings,
                         Deployment GivenSurroundings)
    : Settings(std::move(GivenSettings)),
      Surroundings(std::move(GivenSurroundings)), Loop(1), Timers(Loop),
      State(stateOptions(Settings)), Metrics(Settings.Instance, Settings.Zone),
      Feed(Settings.ReturnTime, loneReturnTime(Settings)),
      Backends(Loop, Timers),
      Store(Surroundings.MakeStore(Loop, Timers, Settings.StoreAddress,
                                   Settings.StoreTimeout)),
      CallerListener(Loop), ReadinessListener(Loop), MetricsListener(Loop),
      Signals(Loop, SIGTERM, SIGINT, SIGHUP) {
  CallerParts.OnRequest = [this](const std::shared_ptr<CallerSession> &Caller,
                                 HttpRequest Request) {
    onRequest(Caller, std::move(Request));
  };
  CallerParts.OnLeft = [this](CallerSession &Caller) {
    auto Found = Active.find(&Caller);
    if (Found == Active.end())
      return;
    std::shared_ptr<RelaySession> Session = std::move(Found->second);
    Active.erase(Found);
    RelayVerdict Left;
    Left.Outcome = RelayOutcome::CallerLeft;
    noteEnd(*Session, Left);
    Session->callerLeft();
  };
  CallerParts.OnClosed = [this](CallerSession &Caller) {
    Callers.erase(&Caller);
  };
  CallerParts.Limits = [this] {
    return State.table() != nullptr ? State.table()->sheet().Limits
                                    : ClientLimits();
  };
  CallerParts.Closing = [this] { return stopping(); };
  ReadinessParts = answering(
      [this](const std::shared_ptr<CallerSession> &S) { onReadiness(S); });
  MetricsParts = answering(
      [this](const std::shared_ptr<CallerSession> &S) { onScrape(S); });
}

Result<bool> RelayDaemon::bind(Acceptor &Listener, const std::string &Address) {
  auto Parsed = parseEndpoint(Address);
  if (!Parsed)
    return Parsed.error();
  error_code Fault;
  Listener.open(Parsed.value().protocol(), Fault);
  if (!Fault)
    Listener.set_option(Acceptor::reuse_address(true), Fault);
  if (!Fault)
    Listener.bind(Parsed.value(), Fault);
  if (!Fault)
    Listener.listen(asio::socket_base::max_listen_connections, Fault);
  if (Fault)
    return fail(ErrorCode::Unavailable, Fault.message(), Address);
  return true;
}

Result<bool> RelayDaemon::listen() {
  Result<bool> Bound = bind(CallerListener, Settings.CallerListen);
  if (Bound)
    Bound = bind(ReadinessListener, Settings.ReadinessListen);
  if (!Bound || Settings.MetricsListen.empty())
    return Bound;
  // Callers are served without metrics too.
  auto Scraped =
      capture([this] { return bind(MetricsListener, Settings.MetricsListen); });
  if (auto *Fault = std::get_if<Error>(&Scraped)) {
    logEvent(LogLevel::Error, "metrics_not_served",
             {{"reason", Fault->text()}});
    error_code Ignored;
    // Nothing can be done about a failing close.
    MetricsListener.close(Ignored);
  }
  return true;
}

void RelayDaemon::accept(Acceptor &Listener, CallerHandlers &Handlers,
                         bool Caller) {
  Listener.async_accept([this, &Listener, &Handlers,
                         Caller](const error_code &Fault,
                                 asio::ip::tcp::socket Socket) {
    if (Fault == asio::error::operation_aborted)
      return;
    if (Fault) {
      logEvent(LogLevel::Warning, "accept_failed",
               {{"reason", Fault.message()}});
      auto Pause = std::make_shared<asio::steady_timer>(
          Loop, absl::ToChronoNanoseconds(AcceptPause));
      Pause->async_wait(
          [this, &Listener, &Handlers, Caller, Pause](const error_code &) {
            accept(Listener, Handlers, Caller);
          });
      return;
    }
    auto Session =
        std::make_shared<CallerSession>(std::move(Socket), Timers, Handlers);
    if (Caller)
      Callers.insert(Session.get());
    Session->start();
    accept(Listener, Handlers, Caller);
  });
}

std::vector<FeedEntry>
RelayDaemon::decodeServers(const std::vector<StoreItem> &Items) const {
  std::vector<FeedEntry> Entries;
  Entries.reserve(Items.size());
  for (const StoreItem &Item : Items)
    Entries.push_back(Surroundings.DecodeServer(Item));
  return Entries;
}

void RelayDaemon::followStore() {
  auto Lost = [](const char *What) {
    return [What](StoreOutcome Outcome) {
      logEvent(LogLevel::Warning, "store_lost",
               {{"following", What},
                {"outcome", nameOf(StoreOutcomeNames, Outcome)}});
    };
  };
  const auto Seed = absl::Hash<std::string>()(Settings.Instance);
  FollowHandlers Sheets;
  Sheets.OnAll = [this](const std::vector<StoreItem> &Items, std::uint64_t) {
    takeSheet(Items);
  };
  Sheets.OnChanges = [this](const std::vector<StoreItem> &Items) {
    takeSheet(Items);
  };
  Sheets.OnLost = Lost("sheet");
  Sheets.OnBack = [] {
    logEvent(LogLevel::Info, "store_back", {{"following", "sheet"}});
  };
  FollowOptions SheetOptions;
  SheetOptions.Prefix = Surroundings.SheetKey;
  SheetOptions.BatchPause = SheetBatchPause;
  SheetOptions.Seed = Seed;
  SheetFollower = std::make_unique<KeyFollower>(*Store, Timers, SheetOptions,
                                                std::move(Sheets));
  FollowHandlers Servers;
  Servers.OnAll = [this](const std::vector<StoreItem> &Items,
                         std::uint64_t Revision) {
    takeServers(
        Feed.replaceAll(decodeServers(Items), Revision, LoopTimers::now()));
  };
  Servers.OnChanges = [this](const std::vector<StoreItem> &Items) {
    takeServers(Feed.apply(decodeServers(Items), LoopTimers::now()));
  };
  Servers.OnLost = [this, Report = Lost("servers")](StoreOutcome Outcome) {
    Feed.sourceLost(LoopTimers::now());
    Report(Outcome);
  };
  Servers.OnBack = [this] {
    Feed.sourceBack(LoopTimers::now());
    logEvent(LogLevel::Info, "store_back", {{"following", "servers"}});
  };
  FollowOptions ServerOptions;
  ServerOptions.Prefix = Surroundings.ServersPrefix;
  ServerOptions.BatchPause = ServerBatchPause;
  ServerOptions.Seed = Seed + 1;
  ServerFollower = std::make_unique<KeyFollower>(*Store, Timers, ServerOptions,
                                                 std::move(Servers));
  Fleet = std::make_unique<FleetCount>(
      *Store, Timers, Surroundings.InstancesPrefix, Settings.Instance,
      [this](int Count) {
        if (Count == State.instances())
          return;
        logEvent(LogLevel::Info, "instances_counted", {{"count", Count}});
        State.setInstances(Count, LoopTimers::now());
      });
  SheetFollower->start();
  ServerFollower->start();
  Fleet->start();
}

void RelayDaemon::takeSheet(const std::vector<StoreItem> &Items) {
  // Only the newest word matters.
  const StoreItem *Newest = nullptr;
  for (const StoreItem &Item : Items)
    if (Item.Key == Surroundings.SheetKey && !Item.Removed &&
        (Newest == nullptr || Item.Revision > Newest->Revision))
      Newest = &Item;
  if (Newest == nullptr)
    return;
  auto Decoded =
      capture([&] { return Surroundings.DecodeSheet(Newest->Value); });
  if (auto *Fault = std::get_if<Error>(&Decoded)) {
    logEvent(LogLevel::Error, "sheet_refused", {{"reason", Fault->text()}});
    return;
  }
  auto &Sheet = std::get<RouteSheet>(Decoded);
  const std::uint64_t Version = Sheet.Version;
  const std::size_t Routes = Sheet.Routes.size();
  const bool Taken = State.adopt(std::move(Sheet), LoopTimers::now());
  logEvent(LogLevel::Info, Taken ? "sheet_taken" : "sheet_not_newer",
           {{"version", Version},
            {"routes", Routes},
            {"revision", Newest->Revision}});
}

void RelayDaemon::takeServers(const std::vector<FeedChange> &Changes) {
  for (const FeedChange &Change : Changes)
    logEvent(LogLevel::Info, "server_word",
             {{"server", Change.Id},
              {"service", Change.Server ? Change.Server->Service : "-"},
              {"state", !Change.Server            ? "gone"
                        : Change.Server->Draining ? "draining"
                                                  : "ready"}});
  for (const ServerRef &Server : State.apply(Changes, LoopTimers::now()))
    Backends.prepare(Server);
  Backends.dropGone();
  expireServers();
}

void RelayDaemon::expireServers() {
  const TimePoint Due = Feed.nextExpiry();
  ExpiryTimer.reset();
  if (Due == absl::InfiniteFuture())
    return;
  ExpiryTimer =
      Timers.at(Due, [this](TimePoint Now) { takeServers(Feed.expire(Now)); });
}

bool RelayDaemon::ready() const {
  return State.table() != nullptr && ServerFollower->everComplete() &&
         !stopping();
}

void RelayDaemon::onReadiness(const std::shared_ptr<CallerSession> &Prober) {
  own(*Prober, ready() ? 200 : 503, absl::ZeroDuration());
}

static Duration ageOf(TimePoint Since, TimePoint Now) {
  return Since == absl::InfinitePast() ? absl::InfiniteDuration() : Now - Since;
}

RelaySnapshot RelayDaemon::snapshot(TimePoint Now) const {
  RelaySnapshot Out;
  Out.Ready = ready();
  if (State.table() != nullptr)
    Out.SheetVersion = State.table()->sheet().Version;
  Out.SheetAge = ageOf(SheetFollower->answeredAt(), Now);
  Out.ServersAge = ageOf(ServerFollower->answeredAt(), Now);
  Out.Instances = State.instances();
  Out.CallerConnections = Callers.size();
  Out.RequestsInFlight = Active.size();
  Out.Services = State.snapshot(Now);
  return Out;
}

void RelayDaemon::onScrape(const std::shared_ptr<CallerSession> &Scraper) {
  const bool KeepOpen = Scraper->mayKeepOpen();
  Scraper->answer(
      encodeMetricsAnswer(Metrics.text(snapshot(LoopTimers::now())), KeepOpen),
      KeepOpen);
}

void RelayDaemon::own(CallerSession &Caller, unsigned Status,
                      Duration RetryAfter) {
  const bool KeepOpen = Caller.mayKeepOpen();
  Caller.answer(encodeOwnAnswer(Status, RetryAfter, KeepOpen), KeepOpen);
}

static unsigned statusOf(RejectReason Reason) {
  switch (Reason) {
  case RejectReason::NoHost:
    return 400;
  case RejectReason::NoRoute:
    return 404;
  case RejectReason::NoSheet:
  case RejectReason::NoServers:
  case RejectReason::Stopping:
    break;
  }
  return 503;
}

void RelayDaemon::reject(CallerSession &Caller, const RelayCall &Call,
                         RejectReason Reason, TimePoint Now) {
  Duration RetryAfter = absl::ZeroDuration();
  if (Reason == RejectReason::Stopping)
    RetryAfter = StoppingRetryAfter;
  else if (statusOf(Reason) == 503)
    RetryAfter = std::clamp(Now - StartedAt, LeastUnreadyRetryAfter,
                            MostUnreadyRetryAfter);
  logEvent(
      LogLevel::Info, "request_rejected",
      {{"request", Call.RequestId},
       {"reason", nameOf(RejectReasonNames, Reason)},
       {"host", Call.Host},
       {"target", Call.Target.substr(0, MostLoggedTarget)},
       {"sheet", State.table() != nullptr ? State.table()->sheet().Version : 0},
       {"retry_after_ms", absl::ToInt64Milliseconds(RetryAfter)}});
  Metrics.requestRejected(Reason);
  own(Caller, statusOf(Reason), RetryAfter);
}

void RelayDaemon::onRequest(const std::shared_ptr<CallerSession> &Caller,
                            HttpRequest Request) {
  const TimePoint Now = LoopTimers::now();
  RelayCall Call = decodeCall(Request, Surroundings.Headers, Now);
  const std::shared_ptr<const RouteTable> Table = State.table();
  if (Table == nullptr) {
    reject(*Caller, Call, RejectReason::NoSheet, Now);
    return;
  }
  if (!ServerFollower->everComplete()) {
    reject(*Caller, Call, RejectReason::NoServers, Now);
    return;
  }
  if (Now >= Stop.RefuseNew) {
    reject(*Caller, Call, RejectReason::Stopping, Now);
    return;
  }
  if (Call.Host.empty()) {
    reject(*Caller, Call, RejectReason::NoHost, Now);
    return;
  }
  const Route *Taken = Table->find(Call.Host, Call.Target);
  if (Taken == nullptr) {
    reject(*Caller, Call, RejectReason::NoRoute, Now);
    return;
  }
  RelayPlan Plan =
      State.plan(*Taken, Now, Call.TimeLeft.value_or(Taken->Timeout));
  Plan.Deadline = std::min(Plan.Deadline, Stop.LastAnswer);
  Plan.AnswerBy = std::min(Plan.AnswerBy, Plan.Deadline);
  std::weak_ptr<CallerSession> Weak = Caller;
  CallerSession *Key = Caller.get();
  auto Session = std::make_shared<RelaySession>(
      RelayParts{Backends, Timers, Metrics, Surroundings.Headers},
      std::move(Call), Table, std::move(Plan),
      [this, Weak, Key](const RelayVerdict &Verdict) {
        auto Found = Active.find(Key);
        if (Found == Active.end())
          return;
        std::shared_ptr<RelaySession> Mine = std::move(Found->second);
        Active.erase(Found);
        if (auto Open = Weak.lock())
          onVerdict(*Open, *Mine, Verdict);
      });
  Active[Key] = Session;
  Session->start();
}

/// True for an answer that a caller can use.
static bool isServed(const RelayVerdict &Verdict) {
  return Verdict.Outcome == RelayOutcome::Merged ||
         (Verdict.Outcome == RelayOutcome::Relayed &&
          Verdict.Answers[0]->Status < 500);
}

/// True for one request in ServedSampleRate, the same at every instance.
static bool isSampled(const std::string &RequestId) {
  return XXH3_64bits(RequestId.data(), RequestId.size()) % ServedSampleRate ==
         0;
}

void RelayDaemon::logRequest(const RelaySession &Session,
                             const RelayVerdict &Verdict, TimePoint Now) const {
  const RelayCall &Call = Session.call();
  const RelayRequest &Request = Session.request();
  const Route &Taken = *Request.plan().Taken;
  const auto Millis = absl::ToInt64Milliseconds(Now - Call.Arrived);
  if (!isServed(Verdict)) {
    const bool Left = Verdict.Outcome == RelayOutcome::CallerLeft;
    logEvent(LogLevel::Info, Left ? "caller_left" : "request_failed",
             {{"request", Call.RequestId},
              {"route", Taken.Name},
              {"kind", nameOf(RequestKindNames, Taken.Kind)},
              {"outcome", nameOf(RelayOutcomeNames, Verdict.Outcome)},
              {"sheet", Session.sheetVersion()},
              {"missing", Request.describeMissing()},
              {"retry_after_ms", absl::ToInt64Milliseconds(Verdict.RetryAfter)},
              {"ms", Millis}});
    return;
  }
  if (Verdict.Missing > 0)
    logEvent(LogLevel::Info, "parts_missing",
             {{"request", Call.RequestId},
              {"route", Taken.Name},
              {"sheet", Session.sheetVersion()},
              {"missing", Request.describeMissing()},
              {"hedge_ms",
               absl::ToDoubleMilliseconds(Request.plan().Stats->hedgeDelay())},
              {"ms", Millis}});
  const bool Late = Now - Call.Arrived > Taken.Objective;
  if (!Late && !isSampled(Call.RequestId))
    return;
  logEvent(LogLevel::Info, Late ? "request_late" : "request_served",
           {{"request", Call.RequestId},
            {"route", Taken.Name},
            {"sheet", Session.sheetVersion()},
            {"parts", Request.describeParts()},
            {"objective_ms", absl::ToInt64Milliseconds(Taken.Objective)},
            {"ms", Millis}});
}

void RelayDaemon::noteEnd(const RelaySession &Session,
                          const RelayVerdict &Verdict) {
  const RelayRequest &Request = Session.request();
  const TimePoint Now = LoopTimers::now();
  logRequest(Session, Verdict, Now);
  RelayRequestSample Sample;
  Sample.Route = Request.plan().Taken->Name;
  Sample.Outcome = Verdict.Outcome;
  Sample.Elapsed = Now - Session.call().Arrived;
  Sample.Objective = Request.plan().Taken->Objective;
  Sample.WantedParts = Request.plan().Targets.size();
  Sample.MissingParts = Verdict.Missing;
  Sample.HedgesWithoutBudget = Request.partsWithheld(HedgeObstacle::Budget);
  Sample.HedgesWithoutServer = Request.partsWithheld(HedgeObstacle::NoServer);
  Metrics.requestEnded(Sample);
}

void RelayDaemon::onVerdict(CallerSession &Caller, const RelaySession &Session,
                            const RelayVerdict &Verdict) {
  noteEnd(Session, Verdict);
  const bool KeepOpen = Caller.mayKeepOpen();
  Caller.answer(
      encodeAnswer(Verdict, Session.request().plan().Taken->RecordsWanted,
                   Surroundings.Headers, Caller.headRequest(), KeepOpen),
      KeepOpen);
}

void RelayDaemon::waitForSignal() {
  Signals.async_wait([this](const error_code &Fault, int Signal) {
    if (Fault)
      return;
    if (Signal == SIGHUP)
      logEvent(LogLevel::Info, "reload_ignored",
               {{"reason", "settings are fixed from start to stop"}});
    else if (!stopping())
      beginStop();
    waitForSignal();
  });
}

void RelayDaemon::beginStop() {
  Stop = planStop(LoopTimers::now(), Settings.StopGrace);
  logEvent(LogLevel::Info, "stop_begun",
           {{"callers", Callers.size()}, {"requests", Active.size()}});
  Fleet->leave();
  stopStep();
}

void RelayDaemon::stopStep() {
  const TimePoint Now = LoopTimers::now();
  if (Now >= Stop.CloseIdle) {
    const std::set<CallerSession *> Open = Callers;
    for (CallerSession *Caller : Open)
      if (Callers.count(Caller) != 0)
        Caller->closeIfIdle();
  }
  const bool Over = Now >= Stop.CloseIdle && Callers.empty();
  if (Over || Now >= Stop.End) {
    logEvent(LogLevel::Info, "stopped",
             {{"callers", Callers.size()}, {"requests", Active.size()}});
    Loop.stop();
    return;
  }
  StopTimer = Timers.at(Now + StopStep, [this](TimePoint) { stopStep(); });
}

void RelayDaemon::run() {
  StartedAt = LoopTimers::now();
  logEvent(LogLevel::Info, "started",
           {{"zone", Settings.Zone}, {"listen", Settings.CallerListen}});
  accept(CallerListener, CallerParts, true);
  accept(ReadinessListener, ReadinessParts, false);
  if (MetricsListener.is_open())
    accept(MetricsListener, MetricsParts, false);
  waitForSignal();
  followStore();
  Loop.run();
}

} // namespace quetzallead
