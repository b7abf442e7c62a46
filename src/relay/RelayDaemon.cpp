#include "relay/RelayDaemon.h"
#include "absl/hash/hash.h"
#include "absl/strings/str_cat.h"
#include "relay/DerivedSettings.h"
#include "relay/LinkLimits.h"
#include "relay/RequestFingerprint.h"
#include "relay/RequestLog.h"
#include "relay/SocketOptions.h"
#include "runtime/Endpoint.h"
#include "runtime/Logger.h"
#include <algorithm>
#include <csignal>

namespace quetzallead {

namespace asio = boost::asio;
using boost::system::error_code;

/// Bounds of the Retry-After time sent while the sheet and the servers have not
/// been read yet. Reading them usually takes about 10 ms; a slow start is
/// assumed to take as long again as it has so far.
static constexpr Duration MinUnreadyRetryAfter = absl::Milliseconds(30);
static constexpr Duration MaxUnreadyRetryAfter = absl::Seconds(1);
/// Retry-After time sent during shutdown. Kept short, since other instances
/// have capacity.
static constexpr Duration ShutdownRetryAfter = absl::Milliseconds(10);
/// Delay between a sheet change and the next watch, which batches versions
/// published in quick succession. A version must be in force within seconds.
static constexpr Duration SheetBatchDelay = absl::Milliseconds(200);
/// Longer request targets are truncated in log lines.
static constexpr std::size_t MaxLoggedTargetChars = 200;
/// Delay before the sheet is requested again after a home did not return it.
static constexpr Duration SheetFetchRetryDelay = absl::Milliseconds(100);
/// Interval at which homes, and other instances, ask one of the homes after
/// another for a newer sheet. A home that has lost the store must not serve the
/// callers of instances that have not by an old sheet; a version has to be in
/// force within seconds.
static constexpr Duration HomePollInterval = absl::Milliseconds(700);
static constexpr Duration AskerPollInterval = absl::Milliseconds(2000);
/// Timeout of a request for the sheet.
static constexpr Duration SheetFetchTimeout = absl::Milliseconds(500);
/// A home's response may arrive this long after the route's timeout, which the
/// home keeps itself.
static constexpr Duration LinkTimeoutMargin = absl::Milliseconds(20);
/// Receive buffer of each accepted connection: what a caller can send before it
/// is read.
static constexpr int ReceiveBufferBytes = 32 * 1024;
/// Delay after a failed accept, for example when no file descriptors are left.
static constexpr Duration AcceptRetryDelay = absl::Milliseconds(50);

/// Handlers of a listener that responds to every request at once by calling
/// \p Respond.
static CallerHandlers immediateResponder(
    std::function<void(const std::shared_ptr<CallerSession> &)> Respond) {
  CallerHandlers Handlers;
  Handlers.OnRequest = [Respond = std::move(Respond)](
                           const std::shared_ptr<CallerSession> &Session,
                           const HttpRequest &) { Respond(Session); };
  Handlers.OnDisconnected = [](CallerSession &) {};
  Handlers.OnClosed = [](CallerSession &) {};
  Handlers.Limits = [] { return ClientLimits(); };
  Handlers.ShouldClose = [] { return false; };
  return Handlers;
}

RelayDaemon::RelayDaemon(RelaySettings GivenSettings,
                         Deployment GivenEnvironment)
    : Settings(std::move(GivenSettings)),
      Environment(std::move(GivenEnvironment)),
      Memory(Timers, memoryBytes(Settings)), Loop(1), Timers(Loop),
      Shutdown(Timers), State(stateOptions(Settings)),
      Metrics(Settings.Instance, Settings.Zone), Refusals(Metrics),
      Feed(serverFeedOptions(Settings)), Backends(Loop, Timers, &Memory),
      Servers(State, Backends, Timers, Metrics),
      Announcements(Loop, State, Backends, Metrics, Environment.Headers),
      HandOvers(State, Servers, Metrics),
      Evacuations(Timers, State, Backends, Environment.EvacuationPrefix,
                  Settings.ZoneRegions),
      ColdServers(Timers, State, Backends, Environment.Headers),
      Accounts(State.accountLimits(), Metrics, Environment.Headers),
      TokenExchange(Backends, State.accountLimits(), Environment.Headers),
      Crashes(Backends, Suspects, Environment.Headers),
      Store(Environment.MakeStore(Loop, Timers, Settings.StoreAddress,
                                  Settings.StoreTimeout, &Memory)),
      StoreCalls(*Store, Timers, Metrics, Settings.LapseTime),
      SheetLosses(Timers, Metrics, "sheet"),
      ServerLosses(Timers, Metrics, "servers"), CallerListener(Loop),
      ReadinessListener(Loop), MetricsListener(Loop), LinkListener(Loop),
      Signals(Loop, SIGTERM, SIGINT, SIGHUP) {
  BackendCodec.Encode = [this](const ForwardedRequest &Call,
                               const AttemptToEncode &Attempt) {
    return encodeAttempt(Call, Environment.Headers, Attempt.Server.Info.Id,
                         Attempt.TimeLeft);
  };
  BackendCodec.Decode = [this](const ServerRef &, const ForwardedRequest &,
                               const HttpExchangeResult &End) {
    return decodeExchangeResult(End, Environment.Headers);
  };
  BackendCodec.OnHead = [this](const ServerRef &Server,
                               const HttpResponseHead &Head) {
    Announcements.onHead(Server, Head);
  };
  BackendCodec.OnLost = [this](const ServerRef &Server,
                               const ForwardedRequest &Call) {
    onAttemptLost(Server, Call);
  };
  auto Fingerprint = [](const ForwardedRequest &Call) {
    return Call.Fingerprint.empty() ? requestFingerprint(Call)
                                    : Call.Fingerprint;
  };
  BackendCodec.OnAnswered = [this, Fingerprint](const ForwardedRequest &Call) {
    if (Suspects.empty() ||
        !Suspects.onServed(Fingerprint(Call), LoopTimers::now()))
      return;
    logEvent(LogLevel::Info, "suspect_cleared",
             {{"request", Call.RequestId}, {"fingerprint", Fingerprint(Call)}});
    Crashes.push(State.homes(), LinkSecret);
  };
  BackendCodec.IsBlocked = [this, Fingerprint](const ForwardedRequest &Call) {
    return !Suspects.empty() &&
           Suspects.blocks(Fingerprint(Call), LoopTimers::now());
  };
  BackendCodec.IsSuspected = [this, Fingerprint](const ForwardedRequest &Call) {
    return !Suspects.empty() &&
           Suspects.suspects(Fingerprint(Call), LoopTimers::now());
  };
  BackendCodec.CurrentTable = [this] { return State.table(); };
  LinkCodec.CurrentTable = BackendCodec.CurrentTable;
  Memory.OnEnded = [this](MemoryUse Use, std::size_t) {
    Metrics.memoryFreed(Use);
  };
  Servers.OnLost = [this] { forEachRequest(&RelaySession::onServersLost); };
  HandOvers.ForwardToHome = [this](const std::shared_ptr<CallerSession> &Caller,
                                   const ForwardedRequest &Call,
                                   bool Repeated) {
    forward(Caller, Call, Repeated);
  };
  HandOvers.PassBack = [this](const std::shared_ptr<CallerSession> &Asker,
                              const ForwardedRequest &Call) {
    passBack(*Asker, Call.RequestId, PassBackReason::NoServers);
  };
  HandOvers.Abandon = [this](const std::shared_ptr<CallerSession> &Asker,
                             const ForwardedRequest &Call) {
    abandonLinkRequest(*Asker, Call.RequestId);
  };
  Crashes.OnChanged = [this] {
    logEvent(LogLevel::Info, "crash_reports_received",
             {{"blocked", Suspects.blockedCount(LoopTimers::now())}});
  };
  State.OnPermitDue = [this](TimePoint Due) { schedulePermits(Due); };
  LinkCodec.Acknowledged = true;
  LinkCodec.Encode = [this](const ForwardedRequest &Call,
                            const AttemptToEncode &Attempt) {
    LinkRequestInfo Info;
    Info.Age = LoopTimers::now() - Call.ArrivalTime;
    Info.TransitTime = Call.TransitTime;
    Info.SheetVersion = NewestSheetVersion;
    Info.Repeated = Attempt.MayRepeat;
    Info.PassedBack = Attempt.PassedBack;
    Info.LastAttemptHeldBack = Attempt.LastAttemptHeldBack;
    Info.RunsOnce = Attempt.RunsOnce;
    Info.SharedAttempts = Attempt.SharedAttempts;
    return encodeLinkRequest(Call, Environment.Headers, Info, Attempt.TimeLeft,
                             LinkSecret);
  };
  LinkCodec.IsClaim = [this](const ForwardedRequest &Call,
                             const HttpResponseHead &Head) {
    return isAttemptClaim(Head, Call.RequestId, LinkSecret);
  };
  LinkCodec.EncodeGrant = [this](const ForwardedRequest &Call) {
    return encodeAttemptGrant(Call, Environment.Headers, LinkSecret);
  };
  LinkCodec.Decode = [this](const ServerRef &From, const ForwardedRequest &Call,
                            const HttpExchangeResult &End) {
    if (End.Result != AttemptResult::Answered)
      return decodeExchangeResult(End, Environment.Headers);
    const auto Info =
        decodeLinkResponse(*End.Response, Call.RequestId, LinkSecret);
    AttemptEnd Out;
    if (!Info) {
      Out.Result = AttemptResult::BadReply;
      return Out;
    }
    noteHome(From, *Info);
    if (Info->TryElsewhere || Info->Abandoned) {
      Out.Result = Info->Abandoned ? AttemptResult::Lost : AttemptResult::Shed;
      Out.RunsOnce = Info->RunsOnce;
      return Out;
    }
    Out.Result = AttemptResult::Answered;
    Out.Response = decodeResponse(*End.Response, Environment.Headers);
    return Out;
  };
  RequestHandlers.OnRequest =
      [this](const std::shared_ptr<CallerSession> &Caller,
             HttpRequest Request) { onRequest(Caller, std::move(Request)); };
  RequestHandlers.OnDisconnected = [this](CallerSession &Caller) {
    auto Found = ActiveRequests.find(&Caller);
    if (Found == ActiveRequests.end())
      return;
    std::shared_ptr<RelaySession> Session = std::move(Found->second);
    ActiveRequests.erase(Found);
    RelayResult Disconnected;
    Disconnected.Outcome = RelayOutcome::CallerDisconnected;
    recordRequestEnd(*Session, Disconnected);
    Session->onCallerDisconnected();
    Accounts.onEnd(Session->call(), Session->request(), LoopTimers::now());
  };
  RequestHandlers.OnClosed = [this](CallerSession &Caller) {
    CallerSessions.erase(&Caller);
  };
  RequestHandlers.Limits = [this] {
    return State.table() != nullptr ? State.table()->sheet().Limits
                                    : ClientLimits();
  };
  RequestHandlers.ShouldClose = [this] { return shuttingDown(); };
  ReadinessHandlers = immediateResponder(
      [this](const std::shared_ptr<CallerSession> &S) { onReadiness(S); });
  MetricsHandlers = immediateResponder(
      [this](const std::shared_ptr<CallerSession> &S) { onScrape(S); });
  LinkHandlers = RequestHandlers;
  LinkHandlers.OnRequest = [this](const std::shared_ptr<CallerSession> &Asker,
                                  HttpRequest Request) {
    onLinkRequest(Asker, std::move(Request));
  };
  LinkHandlers.OnMessage = [this](CallerSession &Asker,
                                  const HttpRequest &Message) {
    return onLinkMessage(Asker, Message);
  };
  LinkHandlers.OnClosed = [](CallerSession &) {};
  LinkHandlers.Limits = [this] { return linkLimits(RequestHandlers.Limits()); };
  setUpShutdown();
  const std::pair<CallerHandlers *, PeerKind> Listeners[] = {
      {&RequestHandlers, PeerKind::Caller},
      {&ReadinessHandlers, PeerKind::Prober},
      {&MetricsHandlers, PeerKind::Scraper},
      {&LinkHandlers, PeerKind::Instance}};
  for (const auto &[Handlers, Kind] : Listeners) {
    Handlers->Memory = &Memory;
    Refusals.watch(*Handlers, Kind);
  }
  Refusals.watch(Backends);
  Refusals.watch(*Store);
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
    setReceiveBuffer(Listener, ReceiveBufferBytes);
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
  // Metrics are optional: the daemon also serves callers without them.
  auto Scraped =
      capture([this] { return bind(MetricsListener, Settings.MetricsListen); });
  if (auto *Fault = std::get_if<Error>(&Scraped)) {
    logEvent(LogLevel::Error, "metrics_not_served",
             {{"reason", Fault->text()}});
    error_code Ignored;
    // A failed close needs no handling: the listener is not used again.
    MetricsListener.close(Ignored);
  }
  return true;
}

void RelayDaemon::accept(Acceptor &Listener, CallerHandlers &Handlers,
                         bool IsCaller) {
  Listener.async_accept([this, &Listener, &Handlers,
                         IsCaller](const error_code &Fault,
                                   asio::ip::tcp::socket Socket) {
    if (Fault == asio::error::operation_aborted)
      return;
    if (Fault) {
      logEvent(LogLevel::Warning, "accept_failed",
               {{"reason", Fault.message()}});
      auto RetryTimer = std::make_shared<asio::steady_timer>(
          Loop, absl::ToChronoNanoseconds(AcceptRetryDelay));
      RetryTimer->async_wait([this, &Listener, &Handlers, IsCaller,
                              RetryTimer](const error_code &) {
        accept(Listener, Handlers, IsCaller);
      });
      return;
    }
    auto Session =
        std::make_shared<CallerSession>(std::move(Socket), Timers, Handlers);
    if (IsCaller)
      CallerSessions.insert(Session.get());
    Session->start();
    accept(Listener, Handlers, IsCaller);
  });
}

std::vector<FeedEntry>
RelayDaemon::decodeServers(const std::vector<StoreItem> &Items) const {
  std::vector<FeedEntry> Entries;
  Entries.reserve(Items.size());
  for (const StoreItem &Item : Items)
    Entries.push_back(Environment.DecodeServer(Item));
  return Entries;
}

PrefixWatchHandlers RelayDaemon::sheetHandlers() {
  PrefixWatchHandlers Handlers;
  Handlers.OnSnapshot = [this](const std::vector<StoreItem> &Items,
                               std::uint64_t) {
    updateSheet(Items);
    Evacuations.onSnapshot(Items);
  };
  Handlers.OnNewEra = [this](TimePoint) { Evacuations.onNewEra(); };
  Handlers.OnChanges = [this](const std::vector<StoreItem> &Items) {
    updateSheet(Items);
    Evacuations.onChanges(Items);
    ColdServers.update();
  };
  Handlers.OnUnavailable = [this](StoreOutcome Outcome) {
    Contact.onLost(FollowedData::Sheet, LoopTimers::now());
    Evacuations.onSourceLost();
    SheetLosses.onLost(Outcome, SheetWatcher->lastResponseAt());
  };
  Handlers.OnAvailable = [this] {
    Contact.onBack(FollowedData::Sheet);
    Evacuations.onSourceBack();
    SheetLosses.onBack();
  };
  return Handlers;
}

PrefixWatchHandlers RelayDaemon::serverHandlers() {
  PrefixWatchHandlers Handlers;
  Handlers.OnSnapshot = [this](const std::vector<StoreItem> &Items,
                               std::uint64_t Revision) {
    applyServerChanges(
        Feed.replaceAll(decodeServers(Items), Revision, LoopTimers::now()));
  };
  Handlers.OnNewEra = [this](TimePoint SeenAt) {
    State.rememberDraining(Feed.beginEra(SeenAt));
  };
  Handlers.OnChanges = [this](const std::vector<StoreItem> &Items) {
    applyServerChanges(Feed.apply(decodeServers(Items), LoopTimers::now()));
  };
  Handlers.OnCurrent = [this](TimePoint AsOf) {
    Feed.onCurrent(AsOf);
    scheduleServerExpiry();
  };
  Handlers.OnUnavailable = [this](StoreOutcome Outcome) {
    Contact.onLost(FollowedData::Servers, LoopTimers::now());
    ServerLosses.onLost(Outcome, ServerWatcher->lastResponseAt());
  };
  Handlers.OnAvailable = [this] {
    Contact.onBack(FollowedData::Servers);
    ServerLosses.onBack();
  };
  return Handlers;
}

void RelayDaemon::followStore() {
  const auto Seed = absl::Hash<std::string>()(Settings.Instance);
  PrefixWatchOptions SheetOptions;
  SheetOptions.Prefix = Environment.OperatorPrefix;
  SheetOptions.BatchDelay = SheetBatchDelay;
  SheetOptions.MaxSilence = maxStoreSilence(Settings);
  SheetOptions.Seed = Seed;
  SheetWatcher = std::make_unique<PrefixWatcher>(*Store, Timers, SheetOptions,
                                                 sheetHandlers());
  Feed.OnKept = [](const DiscoveredServer &Server, TimePoint Until) {
    logEvent(
        LogLevel::Info, "server_missing",
        {{"server", Server.Id},
         {"service", Server.Service},
         {"kept_ms", absl::ToInt64Milliseconds(Until - LoopTimers::now())}});
  };
  StoreCalls.OnReturned = [this](TimePoint At) {
    Feed.onSourceReturned(At);
    SheetWatcher->onStoreReturned();
    ServerWatcher->onStoreReturned();
  };
  StoreCalls.SendProbe = [this] { Registry->probeStore(); };
  StoreCalls.OnServed = [this](TimePoint At) {
    Feed.onSourceServed(At);
    scheduleServerExpiry();
  };
  PrefixWatchOptions ServerOptions;
  ServerOptions.Prefix = Environment.ServersPrefix;
  ServerOptions.BatchDelay = ServerBatchDelay;
  ServerOptions.MaxSilence = maxStoreSilence(Settings);
  ServerOptions.Seed = Seed + 1;
  ServerWatcher = std::make_unique<PrefixWatcher>(*Store, Timers, ServerOptions,
                                                  serverHandlers());
  InstanceRegistryOptions RegistryOptions;
  RegistryOptions.Prefix = Environment.TierPrefix;
  RegistryOptions.InstancesPrefix = Environment.InstancesPrefix;
  RegistryOptions.SecretKey = Environment.SecretKey;
  RegistryOptions.Self =
      InstanceRecord{Settings.Instance, Settings.Zone, Settings.LinkListen,
                     homeWeight(Settings.Machine)};
  RegistryOptions.Homes = Settings.Homes;
  Registry = std::make_unique<InstanceRegistry>(
      *Store, Timers, std::move(RegistryOptions),
      [this](const InstanceDirectory &Directory) { onDirectory(Directory); });
  Store->OnNewEra = [this](std::uint64_t Era) {
    logEvent(LogLevel::Warning, "store_restored", {{"era", Era}});
    SheetWatcher->onNewEra();
    ServerWatcher->onNewEra();
    Registry->onNewEra();
  };
  Registry->start();
  if (Settings.LinkListen.empty()) {
    Registry->requireRegistration();
    activate();
  }
}

void RelayDaemon::activate() {
  if (Active)
    return;
  Active = true;
  logEvent(LogLevel::Info, "home_activated", {{"chosen", Home}});
  StoreCalls.start();
  SheetWatcher->start();
  ServerWatcher->start();
}

void RelayDaemon::onDirectory(const InstanceDirectory &Directory) {
  const auto Step = Steps.begin(LoopTask::Instances);
  const TimePoint Now = LoopTimers::now();
  LinkSecret = Directory.LinkSecret;
  const int Count = std::max(1, Directory.count());
  const bool WasHome = Home;
  Home = Settings.LinkListen.empty() ||
         isHome(Directory, Settings.Instance, Settings.Zone, Settings.Homes);
  if (Count != State.instances() || Home != WasHome)
    logEvent(LogLevel::Info, "instances_counted",
             {{"count", Count}, {"home", Home}});
  std::vector<std::string> Sharing;
  if (Settings.LinkListen.empty())
    for (const InstanceRecord &Instance : Directory.Instances)
      Sharing.push_back(Instance.Name);
  else
    Sharing = homeNames(Directory, Settings.Homes);
  const int HomeCount = static_cast<int>(Sharing.size());
  for (int I = 0; I < Directory.Undecoded; ++I)
    Sharing.push_back(absl::StrCat("undecoded-", I));
  State.sharing().update(Sharing, Count, Now);
  if (Settings.LinkListen.empty()) {
    State.setInstanceCount(Count, Count, true, Now);
    return;
  }
  listenForLinks();
  State.setInstanceCount(Count, HomeCount, Home, Now);
  const std::vector<ServerRef> NewHomes =
      State.updateHomes(Directory, Settings.Instance, Now);
  Backends.closeRemovedServers();
  if (Home)
    activate();
  else
    for (const ServerRef &New : NewHomes)
      Backends.preconnect(New);
  if (FetchTimer == nullptr)
    fetchSheet();
}

void RelayDaemon::listenForLinks() {
  // Without the secret this instance could not tell other instances that it has
  // not run a request; a refused connection does.
  if (LinkSecret.empty() || LinkListener.is_open())
    return;
  auto Bound =
      capture([this] { return bind(LinkListener, Settings.LinkListen); });
  if (auto *Fault = std::get_if<Error>(&Bound)) {
    logEvent(LogLevel::Error, "link_not_served", {{"reason", Fault->text()}});
    error_code Ignored;
    // The next directory is another chance to bind.
    LinkListener.close(Ignored);
    return;
  }
  accept(LinkListener, LinkHandlers, false);
}

bool RelayDaemon::canServe() const {
  return State.table() != nullptr && ServerWatcher->hasSnapshot() &&
         Evacuations.known() && (Home || Registry->registered());
}

bool RelayDaemon::servesItself() const {
  return !State.hasReachableHome() || LinkSecret.empty() ||
         (Home && !Contact.handsOver(LoopTimers::now()));
}

void RelayDaemon::noteSheetVersion(std::uint64_t Version) {
  NewestSheetVersion = std::max(NewestSheetVersion, Version);
  if (sheetBehind() && !FetchingSheet)
    fetchSheet();
}

bool RelayDaemon::sheetBehind() const {
  return State.table() == nullptr ||
         State.table()->sheet().Version < NewestSheetVersion;
}

void RelayDaemon::fetchSheet() {
  FetchTimer.reset();
  const std::vector<ServerRef> Homes = State.homes();
  if (FetchingSheet || Homes.empty() || LinkSecret.empty())
    return;
  FetchingSheet = true;
  // The homes poll each other over all zones; the others have nothing to learn
  // from afar while a home of their zone keeps up.
  const std::size_t Near = State.nearHomeCount();
  const bool AsksAll = Home || FailedFetches >= Near;
  const ServerRef &Asked =
      Homes[SheetFetches % (AsksAll ? Homes.size() : Near)];
  ForwardedRequest Call;
  Call.Method = "GET";
  Call.Target = LinkSheetTarget;
  Call.Host = Asked->Info.Address;
  Call.RequestId = absl::StrCat("sheet-", ++SheetFetches);
  Call.Headers =
      absl::StrCat(Environment.Headers.RequestId, ": ", Call.RequestId, "\r\n");
  LinkRequestInfo Info;
  Info.WantsSheet = true;
  Info.SheetVersion = Sheets.version();
  Info.TakesSheetUpdate = !WantsWholeSheet;
  HttpExchange Exchange;
  Exchange.Bytes = encodeLinkRequest(Call, Environment.Headers, Info,
                                     SheetFetchTimeout, LinkSecret);
  Exchange.Deadline = LoopTimers::now() + SheetFetchTimeout;
  Backends.send(Asked, std::move(Exchange),
                [this, Asked](const HttpExchangeResult &End) {
                  onSheetFetched(Asked, End);
                });
}

void RelayDaemon::onSheetFetched(const ServerRef &Asked,
                                 const HttpExchangeResult &End) {
  if (End.Result == AttemptResult::Answered) {
    const auto Info = decodeLinkResponse(
        *End.Response, absl::StrCat("sheet-", SheetFetches), LinkSecret);
    if (Info && !Info->TryElsewhere && !End.Response->body().empty() &&
        adoptFetched(End.Response->body()))
      Contact.onSheetFromHome(LoopTimers::now());
    if (Info) {
      noteHome(Asked, *Info);
      if (Info->CrashDigest != Suspects.digest())
        Crashes.exchangeWith(Asked, LinkSecret);
    }
  }
  FetchingSheet = false;
  const bool Reached = End.Result == AttemptResult::Answered;
  FailedFetches = Reached && !sheetBehind() ? 0 : FailedFetches + 1;
  const Duration Interval = sheetBehind() ? SheetFetchRetryDelay
                            : Home        ? HomePollInterval
                                          : AskerPollInterval;
  FetchTimer = Timers.at(LoopTimers::now() + Interval,
                         [this](TimePoint) { fetchSheet(); });
}

bool RelayDaemon::adoptFetched(const std::string &Body) {
  if (!isSheetUpdate(Body))
    return adoptSheet(Body, 0);
  const std::optional<std::string> Text = Sheets.apply(Body);
  WantsWholeSheet = !Text;
  if (Text)
    return adoptSheet(*Text, 0);
  logEvent(LogLevel::Warning, "sheet_update_unusable",
           {{"version", Sheets.version()}, {"bytes", Body.size()}});
  return false;
}

void RelayDaemon::updateSheet(const std::vector<StoreItem> &Items) {
  // A newer entry supersedes all older ones.
  const StoreItem *Newest = nullptr;
  for (const StoreItem &Item : Items)
    if (Item.Key == Environment.SheetKey && !Item.Removed &&
        (Newest == nullptr || Item.Revision > Newest->Revision))
      Newest = &Item;
  if (Newest == nullptr)
    return;
  adoptSheet(Newest->Value, Newest->Revision);
  Contact.onSheetFromStore();
}

void RelayDaemon::noteHome(const ServerRef &From,
                           const LinkResponseInfo &Info) {
  RelayState::noteHome(From, Info.ServersLost, LoopTimers::now());
  From->ChecksRepeats = Info.ChecksRepeats;
  Evacuations.onHomeResponse(Info);
  if (Info.StoreAge)
    StoreCalls.onServedElsewhere(*Info.StoreAge);
  if (!Info.StoreLost && Info.SheetVersion != 0)
    Contact.onHomeInContact(LoopTimers::now());
  if (Info.Sharers > 0)
    State.sharing().onCountHeard(Info.Sharers, LoopTimers::now());
  noteSheetVersion(Info.SheetVersion);
}

bool RelayDaemon::adoptSheet(absl::string_view Text, std::uint64_t Revision) {
  const auto Step = Steps.begin(LoopTask::Sheet);
  auto Decoded = capture([&] { return Environment.DecodeSheet(Text); });
  if (auto *Fault = std::get_if<Error>(&Decoded)) {
    logEvent(LogLevel::Error, "sheet_refused", {{"reason", Fault->text()}});
    return false;
  }
  auto &Sheet = std::get<RouteSheet>(Decoded);
  const std::uint64_t Version = Sheet.Version;
  const std::size_t Routes = Sheet.Routes.size();
  const bool Adopted = State.updateSheet(std::move(Sheet), LoopTimers::now());
  logEvent(LogLevel::Info, Adopted ? "sheet_taken" : "sheet_not_newer",
           {{"version", Version}, {"routes", Routes}, {"revision", Revision}});
  if (!Adopted)
    return false;
  Sheets.add(Version, std::string(Text));
  ColdServers.update();
  NewestSheetVersion = std::max(NewestSheetVersion, Version);
  return true;
}

void RelayDaemon::applyServerChanges(const std::vector<FeedChange> &Changes) {
  const auto Step = Steps.begin(LoopTask::Servers);
  for (const FeedChange &Change : Changes) {
    // Logged as "server_missing".
    if (Change.Server && Change.Server->MayEndAt != absl::InfiniteFuture())
      continue;
    logEvent(LogLevel::Info, "server_word",
             {{"server", Change.Id},
              {"service", Change.Server ? Change.Server->Service : "-"},
              {"state", !Change.Server            ? "gone"
                        : Change.Server->Draining ? "draining"
                                                  : "ready"}});
  }
  for (const ServerRef &Server :
       State.applyFeedChanges(Changes, LoopTimers::now()))
    Backends.preconnect(Server);
  Backends.closeRemovedServers();
  ColdServers.update();
  scheduleServerExpiry();
}

void RelayDaemon::onAttemptLost(const ServerRef &Server,
                                const ForwardedRequest &Call) {
  // A server that leaves ends as planned.
  if (!Server->AcceptsAttempts)
    return;
  const std::string Fingerprint = requestFingerprint(Call);
  Suspects.beginCheck(Fingerprint, LoopTimers::now());
  Backends.checkAlive(
      Server, [this, Server, Fingerprint, Id = Call.RequestId](bool Alive) {
        Suspects.endCheck(Fingerprint);
        if (!Alive && Server->AcceptsAttempts)
          onServerEnded(Server, Fingerprint, Id);
      });
}

void RelayDaemon::onServerEnded(const ServerRef &Server,
                                const std::string &Fingerprint,
                                const std::string &RequestId) {
  const DiscoveredServer &Info = Server->Info;
  const TimePoint Now = LoopTimers::now();
  if (!Suspects.onServerEnded(
          Fingerprint, absl::StrCat(Info.Id, "/", Info.StartedAtMillis), Now))
    return;
  logEvent(LogLevel::Warning, "server_ended",
           {{"server", Info.Id},
            {"service", Info.Service},
            {"request", RequestId},
            {"fingerprint", Fingerprint},
            {"ends", Suspects.endCount(Fingerprint)},
            {"blocked", Suspects.blocks(Fingerprint, Now)}});
  Metrics.serverEnded();
  Crashes.push(State.homes(), LinkSecret);
}

void RelayDaemon::rejectBlocked(CallerSession &Caller,
                                const ForwardedRequest &Call, bool Repeated) {
  const Duration RetryAfter =
      Repeated ? absl::ZeroDuration()
               : Suspects.blockLeft(Call.Fingerprint, LoopTimers::now());
  // Only a request that no home has run can be said not to have been run.
  const unsigned Status = Repeated ? 502 : 503;
  logEvent(LogLevel::Info, "request_rejected",
           {{"request", Call.RequestId},
            {"reason", nameOf(RejectReasonNames, RejectReason::EndsServers)},
            {"fingerprint", Call.Fingerprint},
            {"status", Status},
            {"retry_after_ms", absl::ToInt64Milliseconds(RetryAfter)}});
  Metrics.requestRejected(RejectReason::EndsServers);
  sendLocalResponse(Caller, Call.RequestId, Status, RetryAfter);
}

void RelayDaemon::schedulePermits(TimePoint Due) {
  if (Due >= PermitsDue)
    return;
  PermitsDue = Due;
  PermitTimer = Timers.at(Due, [this](TimePoint Now) {
    PermitsDue = absl::InfiniteFuture();
    State.grantPermits(Now);
  });
}

void RelayDaemon::scheduleServerExpiry() {
  const TimePoint Due = Feed.nextExpiry();
  StoreCalls.proveFrom(Feed.nextProofDue());
  ExpiryTimer.reset();
  if (Due != absl::InfiniteFuture())
    ExpiryTimer = Timers.at(
        Due, [this](TimePoint Now) { applyServerChanges(Feed.expire(Now)); });
}

bool RelayDaemon::ready() const {
  if (shuttingDown())
    return false;
  return servesItself() ? canServe() : State.table() != nullptr;
}

void RelayDaemon::onReadiness(const std::shared_ptr<CallerSession> &Prober) {
  const bool KeepOpen = Prober->mayKeepOpen();
  Prober->respond(
      encodeStatusResponse(ready() ? 200 : 503, absl::ZeroDuration(), KeepOpen),
      KeepOpen);
}

static Duration ageOf(TimePoint Since, TimePoint Now) {
  return Since == absl::InfinitePast() ? absl::InfiniteDuration() : Now - Since;
}

RelaySnapshot RelayDaemon::snapshot(TimePoint Now) const {
  RelaySnapshot Out;
  Out.Ready = ready();
  if (State.table() != nullptr)
    Out.SheetVersion = State.table()->sheet().Version;
  Out.SheetAge = ageOf(SheetWatcher->lastResponseAt(), Now);
  Out.ServersAge = ageOf(ServerWatcher->lastResponseAt(), Now);
  Out.Instances = State.instances();
  Out.CallerConnections = CallerSessions.size();
  Out.RequestsInFlight = ActiveRequests.size();
  Out.HeldBytes = Memory.heldBytes();
  Out.BlockedRequests = Suspects.blockedCount(Now);
  Out.EvacuatedZones = Evacuations.count();
  Out.Services = State.snapshot(Now);
  return Out;
}

void RelayDaemon::onScrape(const std::shared_ptr<CallerSession> &Scraper) {
  const auto Step = Steps.begin(LoopTask::Metrics);
  const bool KeepOpen = Scraper->mayKeepOpen();
  Scraper->respond(
      encodeMetricsResponse(Metrics.serialize(snapshot(LoopTimers::now())),
                            KeepOpen),
      KeepOpen);
}

void RelayDaemon::respond(CallerSession &Caller, const std::string &RequestId,
                          std::string Bytes, bool KeepOpen,
                          LinkResponseInfo Info) {
  if (Caller.uses(LinkHandlers)) {
    Info.SheetVersion =
        State.table() != nullptr ? State.table()->sheet().Version : 0;
    Info.StoreLost = Active && Contact.lost(LoopTimers::now());
    Info.StoreAge = StoreCalls.age();
    Info.CrashDigest = Suspects.digest();
    Info.Sharers = State.sharing().count(LoopTimers::now());
    Info.ServersLost = Active && Servers.lost();
    Info.ChecksRepeats = true;
    Evacuations.describe(Info);
    Bytes = addLinkHeader(std::move(Bytes), RequestId, Info, LinkSecret);
  }
  Caller.respond(std::move(Bytes), KeepOpen);
}

void RelayDaemon::sendLocalResponse(CallerSession &Caller,
                                    const std::string &RequestId,
                                    unsigned Status, Duration RetryAfter) {
  const bool KeepOpen = Caller.mayKeepOpen();
  respond(Caller, RequestId, encodeStatusResponse(Status, RetryAfter, KeepOpen),
          KeepOpen);
}

void RelayDaemon::reject(CallerSession &Caller, const ForwardedRequest &Call,
                         RejectReason Reason, TimePoint Now,
                         Duration RetryAfter) {
  if (Reason == RejectReason::Stopping)
    RetryAfter = ShutdownRetryAfter;
  else if (statusOf(Reason) == 503)
    RetryAfter =
        std::clamp(Now - StartedAt, MinUnreadyRetryAfter, MaxUnreadyRetryAfter);
  logEvent(
      LogLevel::Info, "request_rejected",
      {{"request", Call.RequestId},
       {"reason", nameOf(RejectReasonNames, Reason)},
       {"host", Call.Host},
       {"target", Call.Target.substr(0, MaxLoggedTargetChars)},
       {"sheet", State.table() != nullptr ? State.table()->sheet().Version : 0},
       {"retry_after_ms", absl::ToInt64Milliseconds(RetryAfter)}});
  Metrics.requestRejected(Reason);
  sendLocalResponse(Caller, Call.RequestId, statusOf(Reason), RetryAfter);
}

void RelayDaemon::onRequest(const std::shared_ptr<CallerSession> &Caller,
                            HttpRequest Request) {
  const TimePoint Now = LoopTimers::now();
  ForwardedRequest Call = decodeRequest(Request, Environment.Headers, Now);
  Call.TransitTime = Caller->transitTime();
  if (Now >= Shutdown.plan().RejectNewTime) {
    reject(*Caller, Call, RejectReason::Stopping, Now);
    return;
  }
  if (!servesItself()) {
    forward(Caller, std::move(Call));
    return;
  }
  if (!Active && !LinkSecret.empty()) {
    // No home can be reached: this instance becomes one.
    Registry->requireRegistration();
    activate();
  }
  if (State.table() == nullptr) {
    reject(*Caller, Call, RejectReason::NoSheet, Now);
    return;
  }
  if (!canServe()) {
    reject(*Caller, Call, RejectReason::NoServers, Now);
    return;
  }
  serve(Caller, std::move(Call), LinkRequestInfo());
}

HandOverOrigin RelayDaemon::originOf(const CallerSession &Caller) const {
  HandOverOrigin Origin;
  Origin.FromInstance = Caller.uses(LinkHandlers);
  Origin.HasLinks = !LinkSecret.empty();
  return Origin;
}

void RelayDaemon::abandonLinkRequest(CallerSession &Asker,
                                     const std::string &RequestId) {
  const bool KeepOpen = Asker.mayKeepOpen();
  LinkResponseInfo Info;
  Info.Abandoned = true;
  respond(Asker, RequestId,
          encodeStatusResponse(502, absl::ZeroDuration(), KeepOpen), KeepOpen,
          Info);
}

void RelayDaemon::forEachRequest(void (RelaySession::*Event)()) {
  // A request may end while it handles the event.
  std::vector<std::shared_ptr<RelaySession>> Sessions;
  Sessions.reserve(ActiveRequests.size());
  for (const auto &[Caller, Session] : ActiveRequests)
    Sessions.push_back(Session);
  for (const auto &Session : Sessions)
    (Session.get()->*Event)();
}

void RelayDaemon::passBack(CallerSession &Asker, const std::string &RequestId,
                           PassBackReason Reason) {
  logEvent(LogLevel::Info, "link_request_passed_back",
           {{"request", RequestId},
            {"reason", nameOf(PassBackReasonNames, Reason)}});
  const bool KeepOpen = Asker.mayKeepOpen();
  LinkResponseInfo Info;
  Info.TryElsewhere = true;
  Info.RunsOnce = Reason == PassBackReason::NotRepeatable;
  respond(Asker, RequestId,
          encodeStatusResponse(503, ShutdownRetryAfter, KeepOpen), KeepOpen,
          Info);
}

void RelayDaemon::onLinkRequest(const std::shared_ptr<CallerSession> &Asker,
                                HttpRequest Request) {
  const TimePoint Now = LoopTimers::now();
  const std::optional<LinkRequestInfo> Info =
      decodeLinkRequest(Request, Environment.Headers, LinkSecret);
  if (!Info) {
    logEvent(LogLevel::Warning, "link_request_refused",
             {{"reason", "not signed with the secret of this tier"}});
    Asker->respond(encodeStatusResponse(403, absl::ZeroDuration(), false),
                   false);
    return;
  }
  if (Info->GrantsAttempts) {
    // The request has been answered before the grant arrived.
    Asker->skipResponse();
    return;
  }
  ForwardedRequest Call =
      decodeRequest(Request, Environment.Headers, Now - Info->Age);
  Call.TransitTime = Info->TransitTime + Asker->transitTime();
  if (Call.RemainingTime)
    *Call.RemainingTime += Info->Age;
  // An asker that was left waiting has gone to another home and closed the
  // connection. The event loop sees that once it has polled again, which it
  // does between two posted handlers.
  asio::post(Loop, [this, Asker, Call = std::move(Call),
                    Given = *Info]() mutable {
    asio::post(Loop, [this, Asker, Call = std::move(Call), Given]() mutable {
      serveLinkRequest(Asker, std::move(Call), Given);
    });
  });
}

bool RelayDaemon::onLinkMessage(CallerSession &Asker,
                                const HttpRequest &Message) {
  const std::optional<LinkRequestInfo> Info =
      decodeLinkRequest(Message, Environment.Headers, LinkSecret);
  if (!Info || !Info->GrantsAttempts)
    return false;
  auto Found = ActiveRequests.find(&Asker);
  if (Found != ActiveRequests.end() &&
      Found->second->call().RequestId == Message[Environment.Headers.RequestId])
    // The request may end while it is handled.
    std::shared_ptr<RelaySession>(Found->second)->onGranted();
  return true;
}

void RelayDaemon::serveLinkRequest(const std::shared_ptr<CallerSession> &Asker,
                                   ForwardedRequest Call,
                                   const LinkRequestInfo &Info) {
  if (!Asker->serving())
    return;
  if (Asker->closedByPeer()) {
    Asker->close();
    return;
  }
  if (Info.WantsSheet && State.table() != nullptr) {
    const bool KeepOpen = Asker->mayKeepOpen();
    const auto Step = Steps.begin(LoopTask::Sheet);
    std::string Body;
    if (Sheets.version() > Info.SheetVersion)
      Body = Info.TakesSheetUpdate ? Sheets.updateFrom(Info.SheetVersion)
                                   : Sheets.text();
    respond(*Asker, Call.RequestId, encodeLinkBody(Body, KeepOpen), KeepOpen);
    return;
  }
  if (Info.ExchangesCrashes) {
    const bool KeepOpen = Asker->mayKeepOpen();
    respond(*Asker, Call.RequestId,
            encodeLinkBody(Crashes.answer(Call.Body), KeepOpen), KeepOpen);
    return;
  }
  if (Info.AsksForTokens) {
    const bool KeepOpen = Asker->mayKeepOpen();
    respond(*Asker, Call.RequestId,
            encodeLinkBody(TokenExchange.answer(Call.Body), KeepOpen),
            KeepOpen);
    return;
  }
  if (!Active && !shuttingDown()) {
    Registry->requireRegistration();
    activate();
  }
  const PassBackReason Reason = passBackReason(admission(Call, Info));
  if (Reason == PassBackReason::OlderSheet)
    noteSheetVersion(Info.SheetVersion);
  if (Reason != PassBackReason::None) {
    passBack(*Asker, Call.RequestId, Reason);
    return;
  }
  Asker->acknowledge();
  serve(Asker, std::move(Call), Info);
}

LinkAdmission RelayDaemon::admission(const ForwardedRequest &Call,
                                     const LinkRequestInfo &Info) const {
  LinkAdmission Out;
  Out.Stopping = shuttingDown();
  Out.Ready = canServe() && !Info.WantsSheet;
  Out.HandsOver = Contact.handsOver(LoopTimers::now());
  Out.PassedBack = Info.PassedBack;
  Out.AskersVersion = Info.SheetVersion;
  Out.AskerRepeats = Info.LastAttemptHeldBack;
  if (State.table() == nullptr)
    return Out;
  Out.SheetVersion = State.table()->sheet().Version;
  // Other requests are matched once they are served.
  if (Info.LastAttemptHeldBack)
    Out.Matched = State.table()->find(Call.Host, Call.Target);
  return Out;
}

void RelayDaemon::forward(const std::shared_ptr<CallerSession> &Caller,
                          ForwardedRequest Call, bool Repeated) {
  const std::shared_ptr<const RouteTable> Table = State.table();
  const Route *MatchedRoute =
      Table != nullptr ? Table->find(Call.Host, Call.Target) : nullptr;
  const TimePoint Now = LoopTimers::now();
  const Duration Usual = MatchedRoute != nullptr
                             ? State.expectedForwardTime(*MatchedRoute)
                             : absl::ZeroDuration();
  if (!Repeated && !canEndInTime(Shutdown.plan(), Now, Usual)) {
    reject(*Caller, Call, RejectReason::Stopping, Now);
    return;
  }
  const Duration Timeout =
      MatchedRoute != nullptr ? MatchedRoute->Timeout : SheetFetchTimeout;
  RelayPlan Plan = State.planForward(
      MatchedRoute, Call.ArrivalTime,
      Call.RemainingTime.value_or(Timeout + LinkTimeoutMargin),
      Table != nullptr ? Accounts.accountOf(Call, *Table) : nullptr);
  Plan.Repeated = Repeated;
  startSession(Caller,
               RelaySessionContext{Backends, Timers, Metrics, LinkCodec,
                                   Environment.Headers.RequestId, &Memory},
               std::move(Call), Table, std::move(Plan));
}

void RelayDaemon::serve(const std::shared_ptr<CallerSession> &Caller,
                        ForwardedRequest Call, const LinkRequestInfo &Info) {
  const auto Step = Steps.begin(LoopTask::Request);
  const TimePoint Now = LoopTimers::now();
  const std::shared_ptr<const RouteTable> Table = State.table();
  if (Call.Host.empty()) {
    reject(*Caller, Call, RejectReason::NoHost, Now);
    return;
  }
  const Route *MatchedRoute = Table->find(Call.Host, Call.Target);
  if (MatchedRoute == nullptr) {
    reject(*Caller, Call, RejectReason::NoRoute, Now);
    return;
  }
  if (!canEndInTime(Shutdown.plan(), Now, State.expectedTime(*MatchedRoute))) {
    reject(*Caller, Call, RejectReason::Stopping, Now);
    return;
  }
  if (const auto Refusal = Accounts.identify(Call, *Table, *MatchedRoute)) {
    reject(*Caller, Call, Refusal->Reason, Now);
    return;
  }
  HandOverOrigin Origin = originOf(*Caller);
  Origin.HandedOver = Info.PassedBack;
  if (HandOvers.beforeServing(Caller, Call, *MatchedRoute, Origin))
    return;
  if (!Suspects.empty())
    Call.Fingerprint = requestFingerprint(Call);
  if (BackendCodec.IsBlocked(Call)) {
    rejectBlocked(*Caller, Call, Info.Repeated);
    return;
  }
  const auto Refusal = Accounts.admit(Call, Info.Repeated, Now);
  if (State.accountLimits().lacksTokens())
    TokenExchange.request(State.homes(), LinkSecret);
  if (Refusal) {
    reject(*Caller, Call, Refusal->Reason, Now, Refusal->RetryAfter);
    return;
  }
  RelayPlan Plan =
      State.plan(*MatchedRoute, Call.ArrivalTime,
                 Call.RemainingTime.value_or(MatchedRoute->Timeout),
                 Call.TransitTime, Accounts.accountOf(Call, *Table));
  Plan.Repeated = Info.Repeated;
  Plan.HandedOver = Info.PassedBack;
  Plan.LastAttemptHeldBack = Info.LastAttemptHeldBack;
  Plan.RunsOnce = Info.RunsOnce;
  Plan.AskersLimit = Info.SharedAttempts;
  startSession(Caller,
               RelaySessionContext{Backends, Timers, Metrics, BackendCodec,
                                   Environment.Headers.RequestId, &Memory},
               std::move(Call), Table, std::move(Plan));
}

void RelayDaemon::startSession(const std::shared_ptr<CallerSession> &Caller,
                               RelaySessionContext Context,
                               ForwardedRequest Call,
                               std::shared_ptr<const RouteTable> Table,
                               RelayPlan Plan) {
  Plan.Deadline = std::min(Plan.Deadline, Shutdown.plan().LastResponseTime);
  Plan.ObjectiveDeadline = std::min(Plan.ObjectiveDeadline, Plan.Deadline);
  std::weak_ptr<CallerSession> WeakCaller = Caller;
  CallerSession *CallerKey = Caller.get();
  auto Session = std::make_shared<RelaySession>(
      Context, std::move(Call), std::move(Table), std::move(Plan),
      [this, WeakCaller, CallerKey](const RelayResult &Verdict) {
        auto Found = ActiveRequests.find(CallerKey);
        if (Found == ActiveRequests.end())
          return;
        std::shared_ptr<RelaySession> Finished = std::move(Found->second);
        ActiveRequests.erase(Found);
        Accounts.onEnd(Finished->call(), Finished->request(),
                       LoopTimers::now());
        auto Open = WeakCaller.lock();
        if (Open == nullptr)
          return;
        // No home has run it: a home that has only handed over serves it
        // itself.
        const bool NotRun = Verdict.Outcome == RelayOutcome::Rejected ||
                            Verdict.Outcome == RelayOutcome::Unservable;
        const Route &Matched = *Finished->request().plan().MatchedRoute;
        if (NotRun && canServe() && Matched.Target == RouteTarget::Home) {
          HandOvers.onReturnedUnserved(Matched.Name, LoopTimers::now());
          LinkRequestInfo Info;
          Info.PassedBack = true;
          Info.RunsOnce = Finished->request().runsOnce();
          serve(Open, Finished->call(), Info);
          return;
        }
        if (!HandOvers.afterFailure(Open, Finished->call(), Finished->request(),
                                    Verdict.Outcome, originOf(*Open)))
          onResult(*Open, *Finished, Verdict);
      });
  Session->OnClaim = [this, WeakCaller, Id = Session->call().RequestId] {
    if (auto Asker = WeakCaller.lock())
      Asker->sendInformational(encodeAttemptClaim(Id, LinkSecret));
  };
  ActiveRequests[CallerKey] = Session;
  Session->start();
}

void RelayDaemon::recordRequestEnd(const RelaySession &Session,
                                   const RelayResult &Verdict) {
  const RelayRequest &Request = Session.request();
  const TimePoint Now = LoopTimers::now();
  logRequestEnd(Session, Verdict, Now);
  RelayRequestSample Sample;
  Sample.Route = Request.plan().MatchedRoute->Name;
  Sample.Outcome = Verdict.Outcome;
  Sample.Elapsed = Now - Session.call().ArrivalTime;
  Sample.Objective = Request.plan().MatchedRoute->Objective;
  Sample.WantedParts = Request.plan().Targets.size();
  Sample.MissingParts = Verdict.MissingParts;
  Sample.HedgesWithoutBudget =
      Request.hedgesWithheld(HedgeWithheldReason::Budget);
  Sample.HedgesWithoutServer =
      Request.hedgesWithheld(HedgeWithheldReason::NoServer);
  Metrics.requestEnded(Sample);
}

void RelayDaemon::onResult(CallerSession &Caller, const RelaySession &Session,
                           const RelayResult &Verdict) {
  recordRequestEnd(Session, Verdict);
  const bool KeepOpen = Caller.mayKeepOpen();
  respond(Caller, Session.call().RequestId,
          encodeResponse(Verdict,
                         Session.request().plan().MatchedRoute->MaxRecords,
                         Environment.Headers, Caller.isHeadRequest(), KeepOpen),
          KeepOpen);
}

void RelayDaemon::waitForSignal() {
  Signals.async_wait([this](const error_code &Fault, int Signal) {
    if (Fault)
      return;
    if (Signal == SIGHUP)
      logEvent(LogLevel::Info, "reload_ignored",
               {{"reason", "settings are loaded at startup only"}});
    else if (!shuttingDown())
      beginShutdown();
    waitForSignal();
  });
}

void RelayDaemon::setUpShutdown() {
  Shutdown.CloseIdle = [this] {
    const std::set<CallerSession *> OpenCallers = CallerSessions;
    for (CallerSession *Caller : OpenCallers)
      if (CallerSessions.count(Caller) != 0)
        Caller->closeIfIdle();
  };
  Shutdown.AnswerRequests = [this] {
    forEachRequest(&RelaySession::onStopping);
  };
  Shutdown.IsDrained = [this] {
    return CallerSessions.empty() && ActiveRequests.empty();
  };
  Shutdown.Exit = [this] {
    logShutdown("stopped");
    Loop.stop();
  };
}

void RelayDaemon::logShutdown(const char *Event) const {
  logEvent(LogLevel::Info, Event,
           {{"callers", CallerSessions.size()},
            {"requests", ActiveRequests.size()}});
}

void RelayDaemon::beginShutdown() {
  logShutdown("stop_begun");
  Registry->deregister();
  Shutdown.begin(Settings.StopGrace);
}

void RelayDaemon::run() {
  StartedAt = LoopTimers::now();
  logEvent(LogLevel::Info, "started",
           {{"zone", Settings.Zone}, {"listen", Settings.CallerListen}});
  accept(CallerListener, RequestHandlers, true);
  accept(ReadinessListener, ReadinessHandlers, false);
  if (MetricsListener.is_open())
    accept(MetricsListener, MetricsHandlers, false);
  waitForSignal();
  followStore();
  Steps.OnLongStep = [this](LoopTask Task, Duration Time) {
    logEvent(LogLevel::Info, "loop_step_long",
             {{"task", nameOf(LoopTaskNames, Task)},
              {"ms", absl::ToDoubleMilliseconds(Time)}});
    Metrics.loopStepLong(Task);
  };
  Loop.run();
}

} // namespace quetzallead
