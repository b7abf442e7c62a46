#include "load/DirectCaller.h"
#include "absl/strings/str_cat.h"
#include "load/Arrival.h"
#include "load/LoadPlan.h"
#include "load/LoadRecord.h"
#include "quetzallead/Sheet.h"
#include "runtime/TimerService.h"
#include "transport/http/HttpClient.h"
#include <nlohmann/json.hpp>

namespace quetzallead {

namespace {

/// The shard of \p Service that holds \p Key.
const ShardSpec *shardOf(const ServiceSpec &Service, const std::string &Key) {
  for (const ShardSpec &Shard : Service.Shards)
    if (Key >= Shard.From && (Shard.To.empty() || Key < Shard.To))
      return &Shard;
  return nullptr;
}

std::string partBody(const LoadStream &Stream, const ServiceSpec &Service,
                     const std::string &Id, const std::string &Key) {
  nlohmann::json Body;
  Body["id"] = Id;
  Body["epoch"] = Service.Epoch;
  if (Stream.Kind == RequestKind::Survey) {
    Body["merge"] = Stream.Merge;
    return Body.dump();
  }
  Body["key"] = Key;
  if (Stream.Kind == RequestKind::Command)
    Body["command"] = {{"mark", Id}};
  else
    Body["merge"] = "lookup";
  return Body.dump();
}

} // namespace

/// A request whose parts are on their way.
struct DirectCaller::Gathering {
  const LoadStream *Stream = nullptr;
  const ServiceSpec *Service = nullptr;
  std::string Key;
  std::uint64_t Draw = 0;
  TimePoint Intended;
  RecordSink Sink;
  PosixMutex Lock;
  int Waiting ABSL_GUARDED_BY(Lock) = 0;
  int WorstStatus ABSL_GUARDED_BY(Lock) = 200;
  LoadRecord Record ABSL_GUARDED_BY(Lock);

  /// Takes in one part's status; true if it was the last.
  bool finishPart(int Status) {
    PosixMutexLock Guard(&Lock);
    if (Status == 200)
      ++Record.CoverageCovered;
    else
      WorstStatus = Status;
    return --Waiting == 0;
  }
};

std::unique_ptr<DirectCaller> DirectCaller::make(const LoadPlan &Plan,
                                                 const Sheet &Services,
                                                 HttpClient &Client,
                                                 const TimerService &Timer) {
  return std::unique_ptr<DirectCaller>(
      new DirectCaller(Plan, Services, Client, Timer));
}

DirectCaller::DirectCaller(const LoadPlan &LoadToSend, const Sheet &Specs,
                           HttpClient &Http, const TimerService &Clock)
    : Plan(LoadToSend), Services(Specs), Client(Http), Timer(Clock) {}

const ServiceSpec *DirectCaller::service(const std::string &Name) const {
  for (const ServiceSpec &Service : Services.Services)
    if (Service.Name == Name)
      return &Service;
  return nullptr;
}

void DirectCaller::send(const Arrival &Next, TimePoint Intended,
                        RecordSink Sink) {
  const LoadStream &Stream = Plan.Streams[Next.Stream];
  LoadRecord Record;
  Record.Sequence = Next.Sequence;
  Record.Offset = Next.Offset;
  Record.Lateness = Timer.now() - Intended;
  Record.Kind = Stream.Kind;
  Record.Service = Stream.Service;
  Record.Urgency = Stream.Urgency;
  auto Request = std::make_shared<Gathering>();
  Request->Stream = &Stream;
  Request->Service = service(Stream.Service);
  Request->Draw = Next.Draw;
  Request->Intended = Intended;
  if (!Stream.Keys.empty())
    Request->Key = Stream.Keys[Next.Draw % Stream.Keys.size()];
  std::vector<const ShardSpec *> Shards;
  if (Request->Service && Stream.Kind == RequestKind::Survey)
    for (const ShardSpec &Shard : Request->Service->Shards)
      Shards.push_back(&Shard);
  else if (Request->Service)
    Shards.push_back(shardOf(*Request->Service, Request->Key));
  if (Shards.empty() || !Shards.front()) {
    Sink(std::move(Record));
    return;
  }
  Record.CoverageWanted = static_cast<int>(Shards.size());
  Request->Sink = std::move(Sink);
  {
    PosixMutexLock Guard(&Request->Lock);
    Request->Record = std::move(Record);
    Request->Waiting = static_cast<int>(Shards.size());
  }
  for (std::size_t Part = 0; Part < Shards.size(); ++Part)
    startPart(Request, *Shards[Part], static_cast<int>(Part));
}

void DirectCaller::startPart(const std::shared_ptr<Gathering> &Request,
                             const ShardSpec &Shard, int Part) {
  const LoadStream &Stream = *Request->Stream;
  const BackendServerSpec &Server = Picker.pick(Shard, Request->Draw + Part);
  const std::string Id =
      absl::StrCat("direct-", Plan.Seed, "-",
                   absl::Hex(Request->Draw, absl::kZeroPad16), "-", Part);
  const bool Command = Stream.Kind == RequestKind::Command;
  HttpCall Call;
  Call.Method = "POST";
  Call.Address = Server.Address;
  Call.Target = absl::StrCat("/v1/shards/", Stream.Service, "/", Shard.Name,
                             Command ? "/command" : "/query");
  Call.Headers.add("Content-Type", "application/json");
  Call.Headers.add("X-Request-Id", Id);
  Call.Headers.add("Request-Timeout-Ms",
                   absl::StrCat(absl::ToInt64Milliseconds(Stream.Timeout)));
  Call.Body = partBody(Stream, *Request->Service, Id, Request->Key);
  Call.Timeout = Stream.Timeout;
  Client.start(std::move(Call),
               [this, Request, &Server](const HttpOutcome &Outcome) {
                 Picker.done(Server);
                 const bool Whole = Outcome.Failure == TransferFailure::None;
                 if (!Request->finishPart(Whole ? Outcome.Response.Status : 0))
                   return;
                 PosixMutexLock Guard(&Request->Lock);
                 Request->Record.Latency = Timer.now() - Request->Intended;
                 Request->Record.Status = Request->WorstStatus;
                 Request->Sink(std::move(Request->Record));
               });
}

} // namespace quetzallead
