#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"
#include "core/base/JsonReader.h"
#include "core/base/JsonText.h"
#include "core/sheet/SheetLimits.h"
#include "quetzallead/Sheet.h"
#include "quetzallead/SheetCodec.h"
#include <algorithm>
#include <nlohmann/json.hpp>

namespace quetzallead {

using nlohmann::json;

namespace {

enum class ServerState { Active, Leaving };

constexpr NamedValue<ServerState> ServerStateNames[] = {
    {ServerState::Active, "active"},
    {ServerState::Leaving, "leaving"},
};

/// Names that must not stand twice anywhere in a sheet.
struct SeenNames {
  absl::flat_hash_set<std::string> Servers;
  absl::flat_hash_set<std::string> Addresses;
};

} // namespace

static void refuseRepeated(JsonReader &Reader, absl::string_view Key,
                           const std::string &Name,
                           absl::flat_hash_set<std::string> &Seen) {
  if (!Seen.insert(Name).second)
    Reader.refuse(Key, absl::StrCat("\"", Name, "\" stands twice"));
}

static BackendServerSpec readServer(JsonReader &Reader,
                                    const std::vector<std::string> &Zones,
                                    SeenNames &Seen) {
  BackendServerSpec Server;
  Server.Name = Reader.name("name");
  Server.Zone = Reader.name("zone");
  Server.Address = Reader.address("address");
  Server.Slots =
      static_cast<int>(Reader.integer("slots", 1, SheetLimits::MaxSlots));
  Server.ConnectionLimit = static_cast<int>(
      Reader.integer("connections", 1, SheetLimits::MaxConnections));
  Server.ConnectTime =
      Reader.milliseconds("connect_ms", absl::ZeroDuration(),
                          SheetLimits::MaxConnectTime, Server.ConnectTime);
  Server.Leaving = Reader.choice("state", ServerStateNames,
                                 std::make_optional(ServerState::Active)) ==
                   ServerState::Leaving;
  Reader.finish();
  refuseRepeated(Reader, "name", Server.Name, Seen.Servers);
  refuseRepeated(Reader, "address", Server.Address, Seen.Addresses);
  if (std::find(Zones.begin(), Zones.end(), Server.Zone) == Zones.end())
    Reader.refuse("zone", absl::StrCat("\"", Server.Zone,
                                       "\" is not among the sheet's zones"));
  return Server;
}

static ShardSpec readShard(JsonReader &Reader,
                           const std::vector<std::string> &Zones,
                           SeenNames &Seen) {
  ShardSpec Shard;
  Shard.Name = Reader.name("name");
  Shard.From = Reader.text("from", 0, SheetLimits::MaxKeyBytes);
  for (JsonReader &ServerReader :
       Reader.objects("servers", 1, SheetLimits::MaxServersPerShard))
    Shard.Servers.push_back(readServer(ServerReader, Zones, Seen));
  Reader.finish();
  return Shard;
}

static void readShards(JsonReader &Reader, ServiceSpec &Service,
                       const std::vector<std::string> &Zones, SeenNames &Seen) {
  absl::flat_hash_set<std::string> Names;
  for (JsonReader &ShardReader :
       Reader.objects("shards", 1, SheetLimits::MaxShardsPerService)) {
    ShardSpec Shard = readShard(ShardReader, Zones, Seen);
    refuseRepeated(ShardReader, "name", Shard.Name, Names);
    if (Service.Shards.empty() && !Shard.From.empty())
      ShardReader.refuse("from", "must be \"\" for the first shard");
    if (!Service.Shards.empty() && Shard.From <= Service.Shards.back().From)
      ShardReader.refuse("from", "must be greater than the shard before it");
    if (!Service.Shards.empty())
      Service.Shards.back().To = Shard.From;
    Service.Shards.push_back(std::move(Shard));
  }
}

static RequestRules readRequests(JsonReader &Reader) {
  constexpr std::size_t RequestKinds = 3;
  constexpr std::size_t MaxKindBytes = 16;
  RequestRules Rules{false, false, false};
  for (const std::string &Kind :
       Reader.texts("requests", RequestKinds, MaxKindBytes)) {
    if (Kind == "survey")
      Rules.Surveys = true;
    else if (Kind == "lookup")
      Rules.Lookups = true;
    else if (Kind == "command")
      Rules.Commands = true;
    else
      Reader.refuse("requests",
                    absl::StrCat("\"", Kind,
                                 "\" must be one of survey, lookup, command"));
  }
  if (!Rules.Surveys && !Rules.Lookups && !Rules.Commands)
    Reader.refuse("requests", "must name survey, lookup or command");
  return Rules;
}

static void readHedge(JsonReader Reader, ServiceSpec &Service) {
  Service.Hedge = Reader.choice("policy", HedgePolicyNames,
                                std::make_optional(Service.Hedge));
  Service.HedgeDelay =
      Reader.milliseconds("delay_ms", absl::ZeroDuration(),
                          SheetLimits::MaxTimeout, Service.HedgeDelay);
  Reader.finish();
}

static ServiceSpec readService(JsonReader &Reader,
                               const std::vector<std::string> &Zones,
                               SeenNames &Seen) {
  ServiceSpec Service;
  Service.Name = Reader.name("name");
  Service.Epoch =
      static_cast<std::uint64_t>(Reader.integer("epoch", 1, INT64_MAX, 1));
  Service.DefaultPriority = Reader.choice(
      "priority", PriorityNames, std::make_optional(Service.DefaultPriority));
  Service.Rules = readRequests(Reader);
  Service.Timeout =
      Reader.milliseconds("timeout_ms", absl::Milliseconds(1),
                          SheetLimits::MaxTimeout, Service.Timeout);
  Service.LeastCoverage = Reader.number("least_coverage", 0.0, 1.0, 1.0);
  Service.CoverageWait =
      Reader.milliseconds("coverage_wait_ms", absl::ZeroDuration(),
                          SheetLimits::MaxTimeout, Service.Timeout);
  if (Service.CoverageWait > Service.Timeout)
    Reader.refuse("coverage_wait_ms", "must not be greater than timeout_ms");
  readHedge(Reader.optionalObject("hedge"), Service);
  readShards(Reader, Service, Zones, Seen);
  Reader.finish();
  return Service;
}

static std::vector<std::string> readZones(JsonReader &Reader) {
  constexpr std::size_t MaxZoneBytes = 64;
  std::vector<std::string> Zones =
      Reader.texts("zones", SheetLimits::MaxZones, MaxZoneBytes);
  if (Zones.empty())
    Reader.refuse("zones", "must name at least one availability zone");
  absl::flat_hash_set<std::string> Seen;
  for (const std::string &Zone : Zones) {
    refuseRepeated(Reader, "zones", Zone, Seen);
    if (!isPlainName(Zone))
      Reader.refuse("zones", absl::StrCat("\"", Zone, "\" is not a name"));
  }
  return Zones;
}

static Sheet readSheet(JsonReader &Reader) {
  constexpr std::int64_t Format = 1;
  Sheet S;
  Reader.integer("format", Format, Format);
  S.Deployment = Reader.name("deployment");
  S.Zones = readZones(Reader);
  SeenNames Seen;
  absl::flat_hash_set<std::string> Names;
  for (JsonReader &ServiceReader :
       Reader.objects("services", 1, SheetLimits::MaxServices)) {
    S.Services.push_back(readService(ServiceReader, S.Zones, Seen));
    refuseRepeated(ServiceReader, "name", S.Services.back().Name, Names);
  }
  Reader.finish();
  if (Seen.Servers.size() > SheetLimits::MaxServers)
    Reader.refuse(
        "services",
        absl::StrCat("more than ", SheetLimits::MaxServers, " servers"));
  return S;
}

Result<Sheet> sheetFromJson(const json &Document) {
  JsonProblem Problem;
  JsonReader Reader(Document, std::string(), Problem);
  Sheet S = readSheet(Reader);
  if (Problem)
    return leaf::new_error(*Problem);
  return S;
}

Result<Sheet> parseSheet(absl::string_view Text) {
  JsonLimits Limits;
  Limits.MaxBytes = SheetLimits::MaxBytes;
  Result<json> Document = parseJsonText(Text, Limits);
  if (!Document)
    return Document.error();
  return sheetFromJson(Document.value());
}

} // namespace quetzallead
