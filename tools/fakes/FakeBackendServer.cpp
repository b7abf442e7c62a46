#include "fakes/FakeBackendServer.h"
#include "absl/container/flat_hash_map.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "fakes/FakeData.h"
#include "fakes/FakeExchange.h"
#include "fakes/FakeHttpListener.h"
#include "fakes/FakeLoop.h"
#include "fakes/Journal.h"
#include <deque>
#include <random>
#include <utility>
#include <vector>

namespace quetzallead {
namespace {

using nlohmann::json;

/// One query or command from its arrival to its reply.
struct Attempt {
  std::shared_ptr<FakeExchange> Exchange;
  std::shared_ptr<JournalEntry> Entry;
  json Body;
  TimePoint Deadline = absl::InfiniteFuture();
  ExchangeFault Fault = ExchangeFault::None;
  /// Version that the result is taken from, fixed when it begins.
  std::uint64_t Version = 0;
  FakeLoop::TimerId ServiceTimer = 0;
};

using AttemptPtr = std::shared_ptr<Attempt>;

/// A reply that waits to change places with the next one.
struct HeldReply {
  std::shared_ptr<FakeExchange> Exchange;
  std::string Bytes;
};

std::string headerOf(const HttpRequest &Request, absl::string_view Name) {
  const std::string *Value = Request.Headers.find(Name);
  return Value == nullptr ? std::string() : *Value;
}

std::uint64_t numberOf(const json &Object, const char *Name,
                       std::uint64_t Otherwise) {
  const auto Found = Object.find(Name);
  if (Found == Object.end() || !Found->is_number_unsigned())
    return Otherwise;
  return Found->get<std::uint64_t>();
}

HttpResponse jsonResponse(int Status, const std::string &Id, const json &Body) {
  HttpResponse Response;
  Response.Status = Status;
  Response.Headers.add("Content-Type", "application/json");
  if (!Id.empty())
    Response.Headers.add("X-Request-Id", Id);
  Response.Body = Body.dump();
  return Response;
}

class Server final : public FakeBackendServer {
public:
  Server(FakeLoop &EventLoop, Journal &Journal, FakeBackendServerOptions Opts)
      : Loop(EventLoop), Notes(Journal), Options(std::move(Opts)),
        Engine(Options.Seed) {
    Faults.Epoch = Options.Epoch;
    Faults.Oldest = Options.Version;
    Faults.Newest = Options.Version;
  }

  bool listen();

  const std::string &name() const override { return Options.Spec.Name; }
  std::string applyFaults(json Patch) override;
  void reassign(const FakeBackendServerOptions &Opts) override;
  json describe() const override;
  json counters() const override;

private:
  void onRequest(const std::shared_ptr<FakeExchange> &Exchange);
  void onHealth(FakeExchange &Exchange);
  void onCancel(FakeExchange &Exchange, const std::string &Id);
  void onAttempt(const std::shared_ptr<FakeExchange> &Exchange, bool Command);
  AttemptPtr makeAttempt(const std::shared_ptr<FakeExchange> &Exchange,
                         bool Command);
  bool admit(const AttemptPtr &Try);
  bool holdsSnapshot(const AttemptPtr &Try);
  void begin(const AttemptPtr &Try);
  void startNext();
  void finish(const AttemptPtr &Try);
  json resultOf(const Attempt &Try) const;
  void refuse(const AttemptPtr &Try, int Status, const char *Error);
  void respond(const AttemptPtr &Try, int Status, json Body);
  void send(const AttemptPtr &Try, const std::string &Bytes);
  void cross(const AttemptPtr &Try, const std::string &Bytes);
  std::string replyBytes(const Attempt &Try, int Status, json Body) const;

  bool chance(double Share);
  bool drawFault(ExchangeFault Fault);
  ExchangeFault drawAnyFault();
  Duration nextServiceTime();
  json load() const;
  const char *healthStatus() const;
  bool ownsKey(const std::string &Key) const;
  /// Runs \p Fn now or, while frozen, once that ends.
  void runThawed(FakeLoop::Task Fn);
  void thaw();

  FakeLoop &Loop;
  Journal &Notes;
  FakeBackendServerOptions Options;
  ServerFaults Faults;
  std::mt19937_64 Engine;
  std::unique_ptr<FakeHttpListener> Listener;
  std::deque<AttemptPtr> Queue;
  /// Attempts queued or begun, by identifier.
  absl::flat_hash_map<std::string, AttemptPtr> Active;
  std::vector<FakeLoop::Task> Frozen;
  std::optional<HeldReply> Held;
  int Busy = 0;
  std::int64_t Requests = 0;
  std::int64_t Executions = 0;
};

bool Server::listen() {
  FakeListenerOptions Listen;
  Listen.Listen = Options.Spec.Address;
  Listen.ConnectionLimit = Options.Spec.ConnectionLimit;
  Listen.ConnectTime = Options.Spec.ConnectTime;
  Listen.MayReadRequest = [this] {
    return !drawFault(ExchangeFault::CloseBeforeRead);
  };
  Listen.MayReadBody = [this] {
    return !drawFault(ExchangeFault::CloseAfterHeaders);
  };
  Listen.OnRequest = [this](std::shared_ptr<FakeExchange> Exchange) {
    runThawed([this, Exchange = std::move(Exchange)] { onRequest(Exchange); });
  };
  Listener = FakeHttpListener::make(Loop, std::move(Listen));
  return Listener != nullptr;
}

std::string Server::applyFaults(json Patch) {
  bool CloseConnections = false;
  if (Patch.is_object() && Patch.contains("close_connections")) {
    CloseConnections = Patch["close_connections"] == true;
    Patch.erase("close_connections");
  }
  std::string Wrong = mergeFaults(Faults, Patch);
  if (!Wrong.empty())
    return Wrong;
  Listener->refuseConnections(Faults.RefuseConnections);
  if (!Listener->setListening(Faults.Listening))
    return "cannot listen again";
  if (CloseConnections)
    Listener->closeConnections();
  thaw();
  return "";
}

void Server::reassign(const FakeBackendServerOptions &Opts) {
  Options.Service = Opts.Service;
  Options.Shard = Opts.Shard;
  Options.From = Opts.From;
  Options.To = Opts.To;
  Options.Epoch = Opts.Epoch;
  Faults.Epoch = Opts.Epoch;
}

json Server::describe() const {
  return {{"name", Options.Spec.Name},
          {"zone", Options.Spec.Zone},
          {"address", Listener->address()},
          {"service", Options.Service},
          {"shard", Options.Shard},
          {"from", Options.From},
          {"to", Options.To},
          {"load", load()},
          {"faults", toJson(Faults)},
          {"counters", counters()}};
}

json Server::counters() const {
  const FakeConnectionCounts Counts = Listener->counts();
  return {{"requests", Requests},
          {"executions", Executions},
          {"connections",
           {{"open", Counts.Open},
            {"peak", Counts.Peak},
            {"accepted", Counts.Accepted},
            {"refused", Counts.Refused}}}};
}

void Server::onRequest(const std::shared_ptr<FakeExchange> &Exchange) {
  const HttpRequest &Request = Exchange->request();
  const std::vector<std::string> Path =
      absl::StrSplit(Request.Path, '/', absl::SkipEmpty());
  if (Request.Method == "GET" && Request.Path == "/health")
    return onHealth(*Exchange);
  if (Request.Method == "DELETE" && Path.size() == 3 && Path[1] == "requests")
    return onCancel(*Exchange, Path[2]);
  const bool Mine = Request.Method == "POST" && Path.size() == 5 &&
                    Path[1] == "shards" && Path[2] == Options.Service &&
                    Path[3] == Options.Shard;
  if (Mine && (Path[4] == "query" || Path[4] == "command"))
    return onAttempt(Exchange, Path[4] == "command");
  const std::string Id = headerOf(Request, "X-Request-Id");
  Exchange->reply(
      jsonResponse(404, Id, {{"id", Id}, {"error", "no such shard here"}}));
}

void Server::onHealth(FakeExchange &Exchange) {
  const std::string Status = Faults.ReportedHealth.value_or(healthStatus());
  Exchange.reply(jsonResponse(200, "", {{"status", Status}, {"load", load()}}));
}

void Server::onCancel(FakeExchange &Exchange, const std::string &Id) {
  HttpResponse Done;
  Done.Status = 204;
  Exchange.reply(Done);
  const auto Found = Active.find(Id);
  if (Found == Active.end())
    return;
  const AttemptPtr Try = Found->second;
  Try->Entry->Cancelled = true;
  if (Try->Entry->Begun) {
    Loop.cancel(Try->ServiceTimer);
    --Busy;
  } else {
    Queue.erase(std::find(Queue.begin(), Queue.end(), Try));
  }
  refuse(Try, 499, "cancelled");
  startNext();
}

void Server::onAttempt(const std::shared_ptr<FakeExchange> &Exchange,
                       bool Command) {
  ++Requests;
  const AttemptPtr Try = makeAttempt(Exchange, Command);
  if (Try == nullptr) {
    const std::string Id = headerOf(Exchange->request(), "X-Request-Id");
    Exchange->reply(
        jsonResponse(400, Id, {{"id", Id}, {"error", "malformed"}}));
    return;
  }
  if (Try->Fault == ExchangeFault::CloseBeforeExecute) {
    Exchange->close();
    return;
  }
  if (!admit(Try) || !holdsSnapshot(Try))
    return;
  Active[Try->Entry->Id] = Try;
  Queue.push_back(Try);
  startNext();
}

AttemptPtr Server::makeAttempt(const std::shared_ptr<FakeExchange> &Exchange,
                               bool Command) {
  const HttpRequest &Request = Exchange->request();
  auto Try = std::make_shared<Attempt>();
  Try->Exchange = Exchange;
  Try->Body = json::parse(Request.Body, nullptr, false);
  JournalEntry Entry;
  Entry.Id = headerOf(Request, "X-Request-Id");
  if (!Try->Body.is_object() || Entry.Id.empty() ||
      Try->Body.value("id", json()) != Entry.Id || Active.contains(Entry.Id))
    return nullptr;
  const json Key = Try->Body.value("key", json());
  if (Key.is_string())
    Entry.Key = Key.get<std::string>();
  Entry.Server = Options.Spec.Name;
  Entry.Service = Options.Service;
  Entry.Shard = Options.Shard;
  Entry.Command = Command;
  Entry.Content = Try->Body.value("command", json());
  Entry.ReceivedAt = Loop.now();
  std::int64_t Timeout = 0;
  if (absl::SimpleAtoi(headerOf(Request, "Request-Timeout-Ms"), &Timeout))
    Try->Deadline = Entry.ReceivedAt + absl::Milliseconds(Timeout);
  Try->Entry = Notes.add(std::move(Entry));
  Try->Fault = drawAnyFault();
  return Try;
}

bool Server::admit(const AttemptPtr &Try) {
  if (Faults.Starting) {
    refuse(Try, 503, "starting");
    return false;
  }
  if (Faults.Draining) {
    refuse(Try, 503, "draining");
    return false;
  }
  const bool Full =
      static_cast<std::int64_t>(Queue.size()) >= Faults.QueueLimit &&
      Busy >= Options.Spec.Slots;
  if (Full || chance(Faults.ShedShare)) {
    refuse(Try, 429, "shed");
    return false;
  }
  if (!Try->Entry->Key.empty() && !ownsKey(Try->Entry->Key)) {
    refuse(Try, 400, "key");
    return false;
  }
  return true;
}

bool Server::holdsSnapshot(const AttemptPtr &Try) {
  const std::uint64_t Epoch = numberOf(Try->Body, "epoch", Faults.Epoch);
  const std::uint64_t Version = numberOf(Try->Body, "version", 0);
  const bool EpochHeld = Epoch == Faults.Epoch;
  const bool VersionHeld =
      Version == 0 || (Version >= Faults.Oldest && Version <= Faults.Newest);
  if (EpochHeld && VersionHeld) {
    Try->Version = Version == 0 ? Faults.Newest : Version;
    return true;
  }
  respond(Try, 409,
          {{"error", EpochHeld ? "version" : "epoch"},
           {"epoch", Faults.Epoch},
           {"oldest", Faults.Oldest},
           {"newest", Faults.Newest}});
  return false;
}

void Server::startNext() {
  while (Busy < Options.Spec.Slots && !Queue.empty()) {
    const AttemptPtr Next = Queue.front();
    Queue.pop_front();
    begin(Next);
  }
}

void Server::begin(const AttemptPtr &Try) {
  if (Loop.now() >= Try->Deadline) {
    refuse(Try, 504, "deadline");
    return;
  }
  if (!holdsSnapshot(Try))
    return;
  ++Busy;
  Try->Entry->Begun = true;
  Try->Entry->BegunAt = Loop.now();
  Try->Entry->Epoch = Faults.Epoch;
  Try->Entry->Version = Try->Version;
  Try->ServiceTimer = Loop.after(nextServiceTime(), [this, Try] {
    runThawed([this, Try] { finish(Try); });
  });
}

void Server::finish(const AttemptPtr &Try) {
  // A cancellation may have come first while the server was frozen.
  if (Try->Entry->Cancelled)
    return;
  --Busy;
  ++Executions;
  Try->Entry->Executed = true;
  if (Try->Fault == ExchangeFault::CloseAfterExecute) {
    Active.erase(Try->Entry->Id);
    Try->Entry->FinishedAt = Loop.now();
    Try->Exchange->close();
  } else {
    respond(Try, 200, resultOf(*Try));
  }
  startNext();
}

json Server::resultOf(const Attempt &Try) const {
  const FakeDataSet Data{Options.Service, Options.Shard, Options.From,
                         Try.Version};
  json Result = {{"epoch", Try.Entry->Epoch}, {"version", Try.Version},
                 {"oldest", Faults.Oldest},   {"newest", Faults.Newest},
                 {"from", Options.From},      {"to", Options.To}};
  const json Merge = Try.Body.value("merge", json());
  if (Try.Entry->Command || Merge == "lookup")
    Result["rows"] = json::array({fakeRow(Data, Try.Entry->Key)});
  else if (Merge == "count")
    Result["count"] = FakeRowsPerShard;
  else
    Result["rows"] = fakeRows(Data);
  return Result;
}

void Server::refuse(const AttemptPtr &Try, int Status, const char *Error) {
  respond(Try, Status, {{"error", Error}});
}

void Server::respond(const AttemptPtr &Try, int Status, json Body) {
  Active.erase(Try->Entry->Id);
  Try->Entry->Status = Status;
  Try->Entry->FinishedAt = Loop.now();
  const std::string Bytes = replyBytes(*Try, Status, std::move(Body));
  const bool Late = Faults.Latency > absl::ZeroDuration() &&
                    chance(Faults.LatencyShare) && Status != 499;
  if (!Late)
    return send(Try, Bytes);
  Loop.after(Faults.Latency, [this, Try, Bytes] {
    runThawed([this, Try, Bytes] { send(Try, Bytes); });
  });
}

std::string Server::replyBytes(const Attempt &Try, int Status,
                               json Body) const {
  const std::string &Id = Try.Entry->Id;
  const std::string WrongId = absl::StrCat("wrong-", Id);
  const bool BodyWrong = Try.Fault == ExchangeFault::WrongId ||
                         Try.Fault == ExchangeFault::WrongBodyId;
  const bool HeaderWrong = Try.Fault == ExchangeFault::WrongId;
  Body["id"] = BodyWrong ? WrongId : Id;
  Body["load"] = load();
  HttpResponse Response =
      jsonResponse(Status, HeaderWrong ? WrongId : Id, Body);
  if (Try.Fault == ExchangeFault::Malformed)
    Response.Body.resize(Response.Body.size() / 2);
  return serializeResponse(Response);
}

void Server::send(const AttemptPtr &Try, const std::string &Bytes) {
  switch (Try->Fault) {
  case ExchangeFault::Duplicate:
    return Try->Exchange->replyRaw(absl::StrCat(Bytes, Bytes), false);
  case ExchangeFault::Cut:
    return Try->Exchange->replyRaw(
        Bytes.substr(0, static_cast<std::size_t>(Faults.CutBytes)), true);
  case ExchangeFault::CloseMidReply:
    return Try->Exchange->replyRaw(Bytes.substr(0, Bytes.size() / 2), true);
  case ExchangeFault::Crossed:
    return cross(Try, Bytes);
  default:
    return Try->Exchange->replyRaw(Bytes, false);
  }
}

void Server::cross(const AttemptPtr &Try, const std::string &Bytes) {
  if (!Held || Held->Exchange->closed()) {
    Held = HeldReply{Try->Exchange, Bytes};
    return;
  }
  Held->Exchange->replyRaw(Bytes, false);
  Try->Exchange->replyRaw(Held->Bytes, false);
  Held.reset();
}

bool Server::chance(double Share) {
  if (Share <= 0)
    return false;
  return Share >= 1 || std::uniform_real_distribution<>(0, 1)(Engine) < Share;
}

bool Server::drawFault(ExchangeFault Fault) {
  return Faults.Exchange == Fault && drawAnyFault() == Fault;
}

ExchangeFault Server::drawAnyFault() {
  const ExchangeFault Fault = Faults.Exchange;
  if (Fault == ExchangeFault::None || !chance(Faults.ExchangeShare))
    return ExchangeFault::None;
  if (Faults.ExchangeCount && --*Faults.ExchangeCount <= 0) {
    Faults.Exchange = ExchangeFault::None;
    Faults.ExchangeCount.reset();
  }
  return Fault;
}

Duration Server::nextServiceTime() {
  ServiceTimeModel Model = Options.ServiceTime;
  Model.Mean = Faults.ServiceTime.value_or(Model.Mean);
  Duration Time = drawServiceTime(Model, Engine) * Faults.ServiceTimeFactor;
  if (Faults.ColdRequests > 0) {
    --Faults.ColdRequests;
    Time *= Faults.ColdFactor;
  }
  return Time;
}

json Server::load() const {
  if (Faults.ReportedLoad.is_object())
    return Faults.ReportedLoad;
  return {
      {"slots", Options.Spec.Slots}, {"busy", Busy}, {"queued", Queue.size()}};
}

const char *Server::healthStatus() const {
  if (Faults.Starting)
    return "starting";
  return Faults.Draining ? "draining" : "ok";
}

bool Server::ownsKey(const std::string &Key) const {
  return Key >= Options.From && (Options.To.empty() || Key < Options.To);
}

void Server::runThawed(FakeLoop::Task Fn) {
  if (Faults.Frozen)
    Frozen.push_back(std::move(Fn));
  else
    Fn();
}

void Server::thaw() {
  if (Faults.Frozen)
    return;
  const std::vector<FakeLoop::Task> Waiting = std::exchange(Frozen, {});
  for (const FakeLoop::Task &Fn : Waiting)
    Fn();
}

} // namespace

std::unique_ptr<FakeBackendServer>
FakeBackendServer::make(FakeLoop &Loop, Journal &Notes,
                        FakeBackendServerOptions Options) {
  auto Made = std::make_unique<Server>(Loop, Notes, std::move(Options));
  if (!Made->listen())
    return nullptr;
  return Made;
}

} // namespace quetzallead
