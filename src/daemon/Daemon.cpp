#include "daemon/Daemon.h"
#include "daemon/AdminFrontend.h"
#include "daemon/CallerFrontend.h"
#include "daemon/ClusterDirectory.h"
#include "daemon/CommandService.h"
#include "daemon/CommandWire.h"
#include "daemon/DecisionRing.h"
#include "daemon/DrainGate.h"
#include "daemon/FleetService.h"
#include "daemon/HealthProber.h"
#include "daemon/KeyReloader.h"
#include "daemon/ListService.h"
#include "daemon/MetricsPublisher.h"
#include "daemon/Secrets.h"
#include "daemon/SessionService.h"
#include "daemon/Settings.h"
#include "daemon/SheetService.h"
#include "daemon/TraceFile.h"
#include "runtime/Logger.h"
#include "runtime/Metrics.h"
#include "runtime/TimerService.h"
#include "runtime/Version.h"
#include "transport/http/HttpClient.h"
#include "transport/http/HttpServer.h"
#include "transport/platform/PlatformClient.h"
#include <atomic>
#include <chrono>
#include <csignal>
#include <random>
#include <set>
#include <thread>
#include <unistd.h>

namespace quetzallead {

/// Decision records kept for "explain".
static constexpr std::size_t DecisionCapacity = 4096;
/// How often a planned stop looks whether all requests have ended.
static constexpr auto DrainPoll = std::chrono::milliseconds(5);
/// Instances that hold this one's last word on its tickets.
static constexpr std::size_t SuccessorCount = 2;
static constexpr Duration HandoverTimeout = absl::Seconds(2);
/// After the last answer, connections get this long to take it.
static constexpr auto LastAnswerTime = std::chrono::milliseconds(50);

static std::uint64_t randomBits() {
  std::random_device Device;
  return (static_cast<std::uint64_t>(Device()) << 32) | Device();
}

/// Grows with every start of an instance, and differs between two starts within
/// one millisecond.
static std::uint64_t startIncarnation(TimePoint Now) {
  static constexpr int RandomBits = 10;
  auto Millis = static_cast<std::uint64_t>(absl::ToUnixMillis(Now));
  std::uint64_t Random = randomBits() & ((1U << RandomBits) - 1);
  return (Millis << RandomBits) | Random;
}

namespace {

class RunningDaemon : public Daemon {
public:
  RunningDaemon(Settings S, const Secrets &Keys, KeyRing Ring,
                std::unique_ptr<Metrics> MetricsPart)
      : Options(std::move(S)), Meter(std::move(MetricsPart)),
        OperatorToken(Keys.OperatorToken), PeerKeys(Keys.PeerKeys),
        Timers(TimerService::make()),
        Incarnation(startIncarnation(Timers->now())), Directory(Options),
        Decisions(DecisionCapacity),
        Traces(Options.Trace.File, Options.Trace.Every),
        Gate(Options.Limits.MaxInFlight),
        Sessions(std::make_shared<KeyRing>(std::move(Ring)), randomBits()),
        Client(HttpClient::make(clientOptions(Options))),
        Platform(*Client, platformOptions(Options)),
        Sheets(Directory, Platform, *Timers, Incarnation),
        Lists(Options, Directory, Platform, *Timers),
        Prober(Directory, *Client, *Timers),
        Publisher(Directory, *Meter, *Timers),
        Fleet(Options, Incarnation, *Timers, fleetHandlers()),
        Commands(
            Directory, environment(), Options.Instance, Incarnation,
            Sessions.keys(),
            [this](const Ticket &T) { return Fleet.standingOf(T); },
            [this](
                const std::string &To, const std::string &Bytes,
                Duration Timeout,
                const std::function<void(std::optional<std::string>)> &Done) {
              forward(To, Bytes, Timeout, Done);
            }),
        Callers(Options, Directory, environment(), Sessions, Commands, Gate,
                randomBits()),
        Admin(adminEnvironment(), OperatorToken),
        Reloader(Options.SecretsFile, *Timers,
                 [this](std::shared_ptr<const KeyRing> Next) {
                   Commands.replaceKeys(Next);
                   Sessions.replaceKeys(std::move(Next));
                 }) {}

  ~RunningDaemon() override {
    CallerServer.reset();
    AdminServer.reset();
    Prober.stop();
    Publisher.stop();
    Sheets.stop();
    Fleet.quiesce();
    // Ends what is in flight while the parts it reports to still stand.
    Client.reset();
    Fleet.stop();
  }

  Result<void> listen() {
    Result<std::unique_ptr<HttpServer>> CallerSide = HttpServer::make(
        serverOptions(Options.CallerListen),
        [this](HttpRequest Request, HttpServer::Responder Respond) {
          Callers.handle(std::move(Request), std::move(Respond));
        });
    if (!CallerSide)
      return CallerSide.error();
    CallerServer = std::move(CallerSide.value());
    Result<void> Joined = Fleet.start(PeerKeys);
    if (!Joined)
      return Joined.error();
    Sheets.start(Fleet);
    Lists.start(Fleet);
    Prober.start(Fleet);
    Publisher.start(Fleet);
    Result<std::unique_ptr<HttpServer>> AdminSide =
        HttpServer::make(serverOptions(Options.AdminListen),
                         [this](const HttpRequest &Request,
                                const HttpServer::Responder &Respond) {
                           Admin.handle(Request, Respond);
                         });
    if (!AdminSide)
      return AdminSide.error();
    AdminServer = std::move(AdminSide.value());
    logEvent(LogLevel::Info, "started",
             {{"version", Version},
              {"zone", Options.Zone},
              {"incarnation", Incarnation},
              {"caller_port", CallerServer->port()},
              {"admin_port", AdminServer->port()},
              {"metrics_port", Meter->port()}});
    return {};
  }

  void stop() override {
    logEvent(LogLevel::Info, "draining", {{"in_flight", Gate.active()}});
    TimePoint Limit = Timers->now() + Options.Drain.Grace;
    // Off the list first, so that the balancer sends no more.
    Lists.leave();
    Fleet.leave();
    CallerServer->closeAfterAnswers();
    Gate.startDraining();
    Commands.drain();
    waitUntil(Limit, [this] { return Gate.active() == 0; });
    waitUntil(Limit, [this] { return Commands.isDrained(); });
    handOver(Limit);
    CallerServer->stopAccepting();
    waitUntil(Limit, [this] { return CallerServer->inFlight() == 0; });
    std::this_thread::sleep_for(LastAnswerTime);
    Lists.stop();
    logEvent(
        LogLevel::Info, "stopped",
        {{"finished", Gate.finishedInDrain()}, {"cut_off", Gate.active()}});
  }

private:
  template <typename Fn> void waitUntil(TimePoint Limit, Fn Done) {
    while (!Done() && Timers->now() < Limit)
      std::this_thread::sleep_for(DrainPoll);
  }

  /// Gives this incarnation's last word on its tickets to successors and tells
  /// all who they are.
  void handOver(TimePoint Limit) {
    if (!Commands.isDrained())
      return;
    std::vector<std::string> Words = Commands.lastWords();
    std::vector<std::string> Asked = Fleet.successors(SuccessorCount);
    auto State = std::make_shared<HandoverState>();
    State->Left = static_cast<int>(Asked.size() * Words.size());
    for (const std::string &Name : Asked)
      for (const std::string &Word : Words)
        Fleet.call(Name, HandoverCall, binaryBody(Word), HandoverTimeout,
                   [State, Name](const std::optional<nlohmann::json> &Reply) {
                     State->ended(Name, Reply && *Reply == true);
                   });
    waitUntil(Limit, [&] { return State->Left.load() <= 0; });
    std::vector<std::string> Holders = State->holders(Asked);
    if (!Holders.empty())
      Fleet.depart(Holders);
    // The news needs a moment to leave.
    if (!Asked.empty())
      std::this_thread::sleep_for(LastAnswerTime);
  }

  /// Answers to the calls of one handover.
  struct HandoverState {
    std::atomic<int> Left{0};
    PosixMutex Mutex;
    std::set<std::string> Failed;

    void ended(const std::string &Name, bool Held) {
      {
        PosixMutexLock Lock(&Mutex);
        if (!Held)
          Failed.insert(Name);
      }
      --Left;
    }
    std::vector<std::string> holders(const std::vector<std::string> &Asked) {
      PosixMutexLock Lock(&Mutex);
      std::vector<std::string> Out;
      for (const std::string &Name : Asked)
        if (Left.load() <= 0 && Failed.count(Name) == 0)
          Out.push_back(Name);
      return Out;
    }
  };

  static nlohmann::json binaryBody(const std::string &Bytes) {
    return nlohmann::json::binary(
        std::vector<std::uint8_t>(Bytes.begin(), Bytes.end()));
  }
  static std::string bytesOf(const nlohmann::json &Body) {
    if (!Body.is_binary())
      return std::string();
    const auto &Binary = Body.get_binary();
    return std::string(Binary.begin(), Binary.end());
  }

  void forward(const std::string &To, const std::string &Bytes,
               Duration Timeout,
               const std::function<void(std::optional<std::string>)> &Done) {
    Fleet.call(To, CommandCall, binaryBody(Bytes), Timeout,
               [Done](const std::optional<nlohmann::json> &Reply) {
                 if (!Reply)
                   return Done(std::nullopt);
                 Done(bytesOf(*Reply));
               });
  }

  FleetHandlers fleetHandlers() {
    FleetHandlers Do;
    Do.OnSheetRevision = [this](const std::string &Name, std::uint64_t R) {
      Sheets.onPeerRevision(Name, R);
    };
    Do.OnServerNotice = [this](const ServerNotice &N) { onServerNotice(N); };
    Do.OnInstanceCount = [this](int Count) {
      Directory.applyInstanceCount(Count, Timers->now());
    };
    Do.OnCall = [this](const std::string &Type, const nlohmann::json &Body,
                       const PeerResponder &Respond) {
      onCall(Type, Body, Respond);
    };
    Do.OnSuperseded = [] { kill(getpid(), SIGTERM); };
    return Do;
  }

  void onServerNotice(const ServerNotice &Notice) {
    TimePoint Now = Timers->now();
    switch (Notice.State) {
    case ServerNoticeState::Back:
      return Directory.noteLeaving(Notice.Server, LeavingCause::None, Now);
    case ServerNoticeState::Leaving:
      return Directory.noteLeaving(Notice.Server, LeavingCause::Peer, Now);
    case ServerNoticeState::Dead:
      return Directory.noteDead(Notice.Server, Now);
    case ServerNoticeState::Unanswering:
      return Directory.noteUnanswering(Notice.Server, Now);
    }
  }

  void onCall(const std::string &Type, const nlohmann::json &Body,
              const PeerResponder &Respond) {
    if (Type == SheetFetchCall)
      return Respond(Sheets.serveFetch(Body));
    if (Type == HandoverCall)
      return Respond(Commands.takeOver(bytesOf(Body)));
    if (Type != CommandCall)
      return Respond(nullptr);
    std::optional<ForwardedCommand> Command =
        decodeCommand(bytesOf(Body), Timers->now());
    if (!Command)
      return Respond(nullptr);
    Commands.runForwarded(std::move(*Command),
                          [Respond](const CommandAnswer &Answer) {
                            Respond(binaryBody(encodeCommandAnswer(Answer)));
                          });
  }

  void onServerEvent(const std::string &Server, AttemptResult Result) {
    ServerNoticeState State = ServerNoticeState::Dead;
    if (Result == AttemptResult::Draining)
      State = ServerNoticeState::Leaving;
    else if (Result == AttemptResult::Lost)
      State = ServerNoticeState::Unanswering;
    Fleet.noticeServer(Server, State);
  }

  QueryEnvironment environment() {
    return QueryEnvironment{
        *Client,
        *Timers,
        Decisions,
        Traces,
        *Meter,
        [this](const std::string &Server, AttemptResult Result) {
          onServerEvent(Server, Result);
        }};
  }
  AdminEnvironment adminEnvironment() {
    return AdminEnvironment{
        Options, Directory, Decisions, Gate,
        *Timers, Sheets,    Fleet,     [] { kill(getpid(), SIGTERM); }};
  }
  static HttpClient::Options clientOptions(const Settings &S) {
    HttpClient::Options Out;
    Out.Threads = S.Transport.ClientThreads;
    Out.OnBadResponse = [](const std::string &Address,
                           absl::string_view Defect) {
      logEvent(LogLevel::Warning, "response_refused",
               {{"address", Address}, {"defect", Defect}});
    };
    return Out;
  }
  static PlatformClient::Options platformOptions(const Settings &S) {
    PlatformClient::Options Out;
    Out.Address = S.Platform.Address;
    Out.Timeout = S.Platform.Timeout;
    return Out;
  }
  HttpServerOptions serverOptions(const std::string &Listen) const {
    HttpServerOptions Out;
    Out.Listen = Listen;
    Out.Threads = Options.Transport.ServerThreads;
    Out.MaxBodyBytes = Options.Limits.MaxBodyBytes;
    return Out;
  }

  const Settings Options;
  const std::unique_ptr<Metrics> Meter;
  const std::string OperatorToken;
  const std::vector<std::string> PeerKeys;
  std::unique_ptr<TimerService> Timers;
  const std::uint64_t Incarnation;
  ClusterDirectory Directory;
  DecisionRing Decisions;
  TraceFile Traces;
  DrainGate Gate;
  SessionService Sessions;
  std::unique_ptr<HttpClient> Client;
  PlatformClient Platform;
  SheetService Sheets;
  ListService Lists;
  HealthProber Prober;
  MetricsPublisher Publisher;
  FleetService Fleet;
  CommandService Commands;
  CallerFrontend Callers;
  AdminFrontend Admin;
  KeyReloader Reloader;
  std::unique_ptr<HttpServer> CallerServer;
  std::unique_ptr<HttpServer> AdminServer;
};

} // namespace

Result<std::unique_ptr<Daemon>> Daemon::make(Settings S, const Secrets &Keys) {
  Result<KeyRing> Ring = makeKeyRing(Keys);
  if (!Ring)
    return Ring.error();
  MetricsOptions Exposed{S.MetricsListen, S.Instance, S.Zone};
  Result<std::unique_ptr<Metrics>> Meter = Metrics::make(Exposed);
  if (!Meter)
    return Meter.error();
  auto Running = std::make_unique<RunningDaemon>(
      std::move(S), Keys, std::move(Ring.value()), std::move(Meter.value()));
  Result<void> Listening = Running->listen();
  if (!Listening)
    return Listening.error();
  return std::unique_ptr<Daemon>(std::move(Running));
}

} // namespace quetzallead
