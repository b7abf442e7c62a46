#include "core/base/Digest.h"
#include "quetzallead/Sheet.h"
#include "quetzallead/SheetCodec.h"
#include <cstdint>
#include <nlohmann/json.hpp>

namespace quetzallead {

using nlohmann::json;

/// Whole milliseconds as an integer, others with their fraction.
static json millisecondsJson(Duration Span) {
  std::int64_t Whole = absl::ToInt64Milliseconds(Span);
  if (absl::Milliseconds(Whole) == Span)
    return Whole;
  return absl::ToDoubleMilliseconds(Span);
}

static json serverJson(const BackendServerSpec &Server) {
  json Out = json::object();
  Out["name"] = Server.Name;
  Out["zone"] = Server.Zone;
  Out["address"] = Server.Address;
  Out["slots"] = Server.Slots;
  Out["connections"] = Server.ConnectionLimit;
  Out["connect_ms"] = millisecondsJson(Server.ConnectTime);
  Out["state"] = Server.Leaving ? "leaving" : "active";
  return Out;
}

static json shardJson(const ShardSpec &Shard) {
  json Out = json::object();
  Out["name"] = Shard.Name;
  Out["from"] = Shard.From;
  Out["servers"] = json::array();
  for (const BackendServerSpec &Server : Shard.Servers)
    Out["servers"].push_back(serverJson(Server));
  return Out;
}

static json requestsJson(const RequestRules &Rules) {
  json Out = json::array();
  if (Rules.Surveys)
    Out.push_back("survey");
  if (Rules.Lookups)
    Out.push_back("lookup");
  if (Rules.Commands)
    Out.push_back("command");
  return Out;
}

static json serviceJson(const ServiceSpec &Service) {
  json Out = json::object();
  Out["name"] = Service.Name;
  Out["epoch"] = Service.Epoch;
  Out["priority"] = std::string(nameOf(PriorityNames, Service.DefaultPriority));
  Out["requests"] = requestsJson(Service.Rules);
  Out["timeout_ms"] = millisecondsJson(Service.Timeout);
  Out["least_coverage"] = Service.LeastCoverage;
  Out["coverage_wait_ms"] = millisecondsJson(Service.CoverageWait);
  Out["hedge"]["policy"] = std::string(nameOf(HedgePolicyNames, Service.Hedge));
  Out["hedge"]["delay_ms"] = millisecondsJson(Service.HedgeDelay);
  Out["shards"] = json::array();
  for (const ShardSpec &Shard : Service.Shards)
    Out["shards"].push_back(shardJson(Shard));
  return Out;
}

json sheetToJson(const Sheet &S) {
  json Out = json::object();
  Out["format"] = 1;
  Out["deployment"] = S.Deployment;
  Out["zones"] = S.Zones;
  Out["services"] = json::array();
  for (const ServiceSpec &Service : S.Services)
    Out["services"].push_back(serviceJson(Service));
  return Out;
}

std::string formatSheet(const Sheet &S) { return sheetToJson(S).dump(); }

std::string sheetDigest(const Sheet &S) { return sha256Hex(formatSheet(S)); }

} // namespace quetzallead
