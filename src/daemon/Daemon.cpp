#include "daemon/Daemon.h"
#include "daemon/AdminFrontend.h"
#include "daemon/CallerFrontend.h"
#include "daemon/ClusterDirectory.h"
#include "daemon/CommandService.h"
#include "daemon/DecisionRing.h"
#include "daemon/DrainGate.h"
#include "daemon/FleetService.h"
#include "daemon/Secrets.h"
#include "daemon/SessionService.h"
#include "daemon/Settings.h"
#include "daemon/SheetService.h"
#include "runtime/Logger.h"
#include "runtime/TimerService.h"
#include "runtime/Version.h"
#include "transport/http/HttpClient.h"
#include "transport/http/HttpServer.h"
#include <chrono>
#include <csignal>
#include <random>
#include <thread>
#include <unistd.h>

namespace quetzallead {

/// Decision records kept for "explain".
static constexpr std::size_t DecisionCapacity = 4096;
/// How often a planned stop looks whether all requests have ended.
static constexpr auto DrainPoll = std::chrono::milliseconds(5);
/// After the last answer, connections get this long to take it.
static constexpr auto LastAnswerTime = std::chrono::milliseconds(50);

static std::uint64_t randomIncarnation() {
  std::random_device Device;
  return (static_cast<std::uint64_t>(Device()) << 32) | Device();
}

static Result<KeyRing> makeKeyRing(const Secrets &S) {
  std::vector<SigningKey> Keys;
  for (const SessionKey &Key : S.SessionKeys)
    Keys.push_back(SigningKey{Key.Id, Key.Secret, Key.NotBefore});
  return KeyRing::make(std::move(Keys));
}

namespace {

class RunningDaemon : public Daemon {
public:
  RunningDaemon(Settings S, const Secrets &Keys, KeyRing Ring)
      : Options(std::move(S)), OperatorToken(Keys.OperatorToken),
        Incarnation(randomIncarnation()), Timers(TimerService::make()),
        Directory(Options), Decisions(DecisionCapacity),
        Gate(Options.Limits.MaxInFlight),
        Sessions(std::make_shared<KeyRing>(std::move(Ring)),
                 randomIncarnation()),
        Client(HttpClient::make(clientOptions(Options))),
        Sheets(Directory, *Timers),
        Commands(
            Directory, environment(), Options.Instance, Incarnation,
            Sessions.keys(), [](const Ticket &) { return IssuerStanding(); },
            [](const std::string &, const std::string &, Duration,
               const std::function<void(std::optional<std::string>)> &Done) {
              Done(std::nullopt);
            }),
        Callers(Options, Directory, environment(), Sessions, Commands, Gate,
                Incarnation),
        Admin(adminEnvironment(), OperatorToken) {}

  ~RunningDaemon() override {
    CallerServer.reset();
    AdminServer.reset();
    // Ends what is in flight while the parts it reports to still stand.
    Client.reset();
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
              {"admin_port", AdminServer->port()}});
    return {};
  }

  void stop() override {
    int Before = Gate.active();
    logEvent(LogLevel::Info, "draining", {{"in_flight", Before}});
    CallerServer->closeAfterAnswers();
    Gate.startDraining();
    Commands.drain();
    TimePoint Limit = Timers->now() + Options.Drain.Grace;
    while (Gate.active() > 0 && Timers->now() < Limit)
      std::this_thread::sleep_for(DrainPoll);
    CallerServer->stopAccepting();
    while (CallerServer->inFlight() > 0 && Timers->now() < Limit)
      std::this_thread::sleep_for(DrainPoll);
    std::this_thread::sleep_for(LastAnswerTime);
    logEvent(
        LogLevel::Info, "stopped",
        {{"finished", Gate.finishedInDrain()}, {"cut_off", Gate.active()}});
  }

private:
  QueryEnvironment environment() {
    return QueryEnvironment{*Client, *Timers, Decisions};
  }
  AdminEnvironment adminEnvironment() {
    return AdminEnvironment{
        Options, Directory, Decisions, Gate,
        *Timers, Sheets,    Fleet,     [] { kill(getpid(), SIGTERM); }};
  }
  static HttpClient::Options clientOptions(const Settings &S) {
    HttpClient::Options Out;
    Out.Threads = S.Transport.ClientThreads;
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
  const std::string OperatorToken;
  const std::uint64_t Incarnation;
  std::unique_ptr<TimerService> Timers;
  ClusterDirectory Directory;
  DecisionRing Decisions;
  DrainGate Gate;
  SessionService Sessions;
  std::unique_ptr<HttpClient> Client;
  SheetService Sheets;
  FleetService Fleet;
  CommandService Commands;
  CallerFrontend Callers;
  AdminFrontend Admin;
  std::unique_ptr<HttpServer> CallerServer;
  std::unique_ptr<HttpServer> AdminServer;
};

} // namespace

Result<std::unique_ptr<Daemon>> Daemon::make(Settings S, const Secrets &Keys) {
  Result<KeyRing> Ring = makeKeyRing(Keys);
  if (!Ring)
    return Ring.error();
  auto Running = std::make_unique<RunningDaemon>(std::move(S), Keys,
                                                 std::move(Ring.value()));
  Result<void> Listening = Running->listen();
  if (!Listening)
    return Listening.error();
  return std::unique_ptr<Daemon>(std::move(Running));
}

} // namespace quetzallead
