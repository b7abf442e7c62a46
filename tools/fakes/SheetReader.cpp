#include "fakes/SheetReader.h"
#include <nlohmann/json.hpp>

namespace quetzallead {

using nlohmann::json;

static BackendServerSpec readServer(const json &Object) {
  BackendServerSpec Spec;
  Spec.Name = Object.value("name", "");
  Spec.Zone = Object.value("zone", "");
  Spec.Address = Object.value("address", "");
  Spec.Slots = Object.value("slots", Spec.Slots);
  Spec.ConnectionLimit = Object.value("connections", Spec.ConnectionLimit);
  Spec.ConnectTime = absl::Milliseconds(Object.value("connect_ms", 1.0));
  Spec.Leaving = Object.value("state", "active") == "leaving";
  return Spec;
}

static ShardSpec readShard(const json &Object) {
  ShardSpec Shard;
  Shard.Name = Object.value("name", "");
  Shard.From = Object.value("from", "");
  for (const json &Server : Object.value("servers", json::array()))
    Shard.Servers.push_back(readServer(Server));
  return Shard;
}

static ServiceSpec readService(const json &Object) {
  ServiceSpec Service;
  Service.Name = Object.value("name", "");
  Service.Epoch = Object.value("epoch", Service.Epoch);
  for (const json &Shard : Object.value("shards", json::array()))
    Service.Shards.push_back(readShard(Shard));
  for (std::size_t I = 0; I + 1 < Service.Shards.size(); ++I)
    Service.Shards[I].To = Service.Shards[I + 1].From;
  return Service;
}

Result<Sheet> readSheet(const std::string &Text) {
  const json Document = json::parse(Text, nullptr, false, true);
  if (!Document.is_object())
    return fail(ErrorCode::InvalidArgument, "the sheet is not a JSON object");
  Sheet Read;
  try {
    Read.Deployment = Document.value("deployment", "");
    for (const json &Service : Document.value("services", json::array()))
      Read.Services.push_back(readService(Service));
  } catch (const json::exception &Thrown) {
    return fail(ErrorCode::InvalidArgument, Thrown.what());
  }
  return Read;
}

} // namespace quetzallead
