#include "relay/RelayDaemon.h"
#include "absl/hash/hash.h"
#include "relay/SocketOptions.h"
#include "runtime/Logger.h"
#include <algorithm>
#include <csignal>

namespace quetzallead {

namespace asio = boost::asio;
using boost::system::error_code;

/// Told to callers of an instance that has no sheet yet; about the time that
/// reading it takes.
static constexpr Duration UnreadyRetryAfter = absl::Milliseconds(300);
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

RelayDaemon::RelayDaemon(RelaySettings GivenSettings,
                         Deployment GivenSurroundings)
    : Settings(std::move(GivenSettings)),
      Surroundings(std::move(GivenSurroundings)), Loop(1), Timers(Loop),
      State(stateOptions(Settings)),
      Feed(Settings.ReturnTime, loneReturnTime(Settings)),
      Backends(Loop, Timers),
      Store(Surroundings.MakeStore(Loop, Timers, Settings.StoreAddress,
                                   Settings.StoreTimeout)),
      CallerListener(Loop), ReadinessListener(Loop),
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
  ReadinessParts.OnRequest =
      [this](const std::shared_ptr<CallerSession> &Prober,
             const HttpRequest &) { onReadiness(Prober); };
  ReadinessParts.OnLeft = [](CallerSession &) {};
  ReadinessParts.OnClosed = [](CallerSession &) {};
  ReadinessParts.Limits = [] { return ClientLimits(); };
  ReadinessParts.Closing = [] { return false; };
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
  if (!Bound)
    return Bound;
  return bind(ReadinessListener, Settings.ReadinessListen);
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

void RelayDaemon::own(CallerSession &Caller, unsigned Status,
                      Duration RetryAfter) {
  const bool KeepOpen = Caller.mayKeepOpen();
  Caller.answer(encodeOwnAnswer(Status, RetryAfter, KeepOpen), KeepOpen);
}

void RelayDaemon::onRequest(const std::shared_ptr<CallerSession> &Caller,
                            HttpRequest Request) {
  const TimePoint Now = LoopTimers::now();
  RelayCall Call = decodeCall(Request, Surroundings.Headers, Now);
  const std::shared_ptr<const RouteTable> Table = State.table();
  if (Table == nullptr || !ServerFollower->everComplete()) {
    own(*Caller, 503, UnreadyRetryAfter);
    return;
  }
  if (Now >= Stop.RefuseNew) {
    own(*Caller, 503, StoppingRetryAfter);
    return;
  }
  if (Call.Host.empty()) {
    own(*Caller, 400, absl::ZeroDuration());
    return;
  }
  const Route *Taken = Table->find(Call.Host, Call.Target);
  if (Taken == nullptr) {
    own(*Caller, 404, absl::ZeroDuration());
    return;
  }
  RelayPlan Plan =
      State.plan(*Taken, Now, Call.TimeLeft.value_or(Taken->Timeout));
  Plan.Deadline = std::min(Plan.Deadline, Stop.LastAnswer);
  Plan.AnswerBy = std::min(Plan.AnswerBy, Plan.Deadline);
  std::weak_ptr<CallerSession> Weak = Caller;
  CallerSession *Key = Caller.get();
  auto Session = std::make_shared<RelaySession>(
      Backends, Timers, Surroundings.Headers, std::move(Call), Table,
      std::move(Plan), [this, Weak, Key](const RelayVerdict &Verdict) {
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

void RelayDaemon::onVerdict(CallerSession &Caller, const RelaySession &Session,
                            const RelayVerdict &Verdict) {
  const RelayCall &Call = Session.call();
  const RelayRequest &Request = Session.request();
  const bool Fine = (Verdict.Outcome == RelayOutcome::Relayed &&
                     Verdict.Answers[0]->Status < 500) ||
                    Verdict.Outcome == RelayOutcome::Merged;
  if (!Fine)
    logEvent(
        LogLevel::Info, "request_failed",
        {{"request", Call.RequestId},
         {"route", Request.plan().Taken->Name},
         {"outcome", nameOf(RelayOutcomeNames, Verdict.Outcome)},
         {"sheet", Session.sheetVersion()},
         {"missing", Request.describeMissing()},
         {"retry_after_ms", absl::ToInt64Milliseconds(Verdict.RetryAfter)},
         {"ms", absl::ToInt64Milliseconds(LoopTimers::now() - Call.Arrived)}});
  if (Verdict.Missing > 0)
    logEvent(
        LogLevel::Info, "parts_missing",
        {{"request", Call.RequestId},
         {"route", Request.plan().Taken->Name},
         {"missing", Request.describeMissing()},
         {"hedge_ms",
          absl::ToDoubleMilliseconds(Request.plan().Stats->hedgeDelay())},
         {"ms", absl::ToInt64Milliseconds(LoopTimers::now() - Call.Arrived)}});
  const bool KeepOpen = Caller.mayKeepOpen();
  Caller.answer(encodeAnswer(Verdict, Request.plan().Taken->RecordsWanted,
                             Surroundings.Headers, Caller.headRequest(),
                             KeepOpen),
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
  logEvent(LogLevel::Info, "started",
           {{"zone", Settings.Zone}, {"listen", Settings.CallerListen}});
  accept(CallerListener, CallerParts, true);
  accept(ReadinessListener, ReadinessParts, false);
  waitForSignal();
  followStore();
  Loop.run();
}

} // namespace quetzallead
