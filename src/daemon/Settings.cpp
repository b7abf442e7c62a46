#include "daemon/Settings.h"
#include "absl/strings/str_cat.h"
#include "core/base/JsonReader.h"
#include "core/base/JsonText.h"
#include "runtime/FileText.h"
#include <nlohmann/json.hpp>

namespace quetzallead {

using nlohmann::json;
using nlohmann::ordered_json;

static constexpr std::size_t MaxSettingsBytes = std::size_t{64} * 1024;
static constexpr std::size_t MaxPathBytes = 4096;
static constexpr std::size_t MaxPeers = 2048;
static constexpr std::size_t MaxAddressBytes = 64;
static constexpr unsigned MaxThreads = 64;
static constexpr int MaxQueuePerShard = 65536;
static constexpr int MaxRequestsInFlight = 1 << 20;
static constexpr std::size_t LeastBodyBytes = 1024;
static constexpr std::size_t MostBodyBytes = std::size_t{16} << 20;
static constexpr Duration MaxPlatformTimeout = absl::Minutes(1);
static constexpr Duration MaxHedgeDelay = absl::Minutes(1);
static constexpr Duration MaxGrace = absl::Hours(1);
static constexpr std::int64_t MaxTracePeriod = 1'000'000'000;

static PlatformSettings readPlatform(JsonReader Reader) {
  PlatformSettings Platform;
  Platform.Address = Reader.address("address");
  Platform.Timeout = Reader.milliseconds("timeout_ms", absl::Milliseconds(1),
                                         MaxPlatformTimeout, Platform.Timeout);
  Reader.finish();
  return Platform;
}

static LogSettings readLog(JsonReader Reader) {
  LogSettings Log;
  Log.Level =
      Reader.choice("level", LogLevelNames, std::make_optional(Log.Level));
  Log.File = Reader.text("file", 0, MaxPathBytes, Log.File);
  Reader.finish();
  return Log;
}

static TransportSettings readTransport(JsonReader Reader) {
  TransportSettings Transport;
  Transport.ClientThreads = static_cast<unsigned>(
      Reader.integer("client_threads", 1, MaxThreads, Transport.ClientThreads));
  Transport.ServerThreads = static_cast<unsigned>(
      Reader.integer("server_threads", 1, MaxThreads, Transport.ServerThreads));
  Reader.finish();
  return Transport;
}

static LimitSettings readLimits(JsonReader Reader) {
  LimitSettings Limits;
  Limits.QueuePerShard = static_cast<int>(Reader.integer(
      "queue_per_shard", 0, MaxQueuePerShard, Limits.QueuePerShard));
  Limits.MaxInFlight = static_cast<int>(Reader.integer(
      "max_in_flight", 1, MaxRequestsInFlight, Limits.MaxInFlight));
  Limits.MaxBodyBytes = static_cast<std::size_t>(
      Reader.integer("max_body_bytes", LeastBodyBytes, MostBodyBytes,
                     static_cast<std::int64_t>(Limits.MaxBodyBytes)));
  Reader.finish();
  return Limits;
}

static PolicySettings readPolicy(JsonReader Reader) {
  PolicySettings Policy;
  Policy.Routing = Reader.choice("routing", RoutingPolicyNames,
                                 std::make_optional(Policy.Routing));
  Policy.Hedging = Reader.choice("hedging", HedgingChoiceNames,
                                 std::make_optional(Policy.Hedging));
  Policy.HedgeDelay = Reader.milliseconds(
      "hedge_delay_ms", absl::ZeroDuration(), MaxHedgeDelay, Policy.HedgeDelay);
  Policy.ExtraLoadShare =
      Reader.number("extra_load_share", 0.0, 1.0, Policy.ExtraLoadShare);
  Reader.finish();
  return Policy;
}

static DrainSettings readDrain(JsonReader Reader) {
  DrainSettings Drain;
  Drain.Grace = Reader.milliseconds("grace_ms", absl::ZeroDuration(), MaxGrace,
                                    Drain.Grace);
  Reader.finish();
  return Drain;
}

static TraceSettings readTrace(JsonReader Reader) {
  TraceSettings Trace;
  Trace.File = Reader.text("file", 0, MaxPathBytes, Trace.File);
  Trace.Every = static_cast<std::uint64_t>(Reader.integer(
      "every", 1, MaxTracePeriod, static_cast<std::int64_t>(Trace.Every)));
  Reader.finish();
  return Trace;
}

static std::vector<std::string> readPeers(JsonReader &Reader) {
  std::vector<std::string> Peers =
      Reader.texts("peers", MaxPeers, MaxAddressBytes);
  for (std::size_t I = 0; I < Peers.size(); ++I)
    if (!isSocketAddress(Peers[I]))
      Reader.refuse(absl::StrCat("peers[", I, "]"),
                    "must be \"ip:port\" with a numeric address");
  return Peers;
}

static Settings readSettings(JsonReader &Reader) {
  Settings S;
  S.Instance = Reader.name("instance");
  S.Zone = Reader.name("zone");
  S.CallerListen = Reader.address("caller_listen");
  S.AdminListen = Reader.address("admin_listen");
  S.PeerListen = Reader.address("peer_listen");
  S.MetricsListen = Reader.address("metrics_listen");
  S.Platform = readPlatform(Reader.object("platform"));
  S.SecretsFile = Reader.text("secrets_file", 1, MaxPathBytes);
  S.Peers = readPeers(Reader);
  S.Log = readLog(Reader.optionalObject("log"));
  S.Transport = readTransport(Reader.optionalObject("transport"));
  S.Limits = readLimits(Reader.optionalObject("limits"));
  S.Policy = readPolicy(Reader.optionalObject("policy"));
  S.Drain = readDrain(Reader.optionalObject("drain"));
  S.Trace = readTrace(Reader.optionalObject("trace"));
  Reader.finish();
  return S;
}

Result<Settings> parseSettings(absl::string_view Text) {
  JsonLimits Limits;
  Limits.MaxBytes = MaxSettingsBytes;
  Result<json> Document = parseJsonText(Text, Limits);
  if (!Document)
    return Document.error();
  JsonProblem Problem;
  JsonReader Reader(Document.value(), std::string(), Problem);
  Settings S = readSettings(Reader);
  if (Problem)
    return leaf::new_error(*Problem);
  return S;
}

Result<Settings> loadSettings(const std::string &Path) {
  Result<std::string> Text = readFileText(Path, MaxSettingsBytes);
  if (!Text)
    return Text.error();
  return namingFile(Path, [&] { return parseSettings(Text.value()); });
}

std::string formatSettings(const Settings &S) {
  ordered_json Out;
  Out["instance"] = S.Instance;
  Out["zone"] = S.Zone;
  Out["caller_listen"] = S.CallerListen;
  Out["admin_listen"] = S.AdminListen;
  Out["peer_listen"] = S.PeerListen;
  Out["metrics_listen"] = S.MetricsListen;
  Out["platform"]["address"] = S.Platform.Address;
  Out["platform"]["timeout_ms"] =
      absl::ToDoubleMilliseconds(S.Platform.Timeout);
  Out["secrets_file"] = S.SecretsFile;
  Out["peers"] = S.Peers;
  Out["log"]["level"] = std::string(nameOf(LogLevelNames, S.Log.Level));
  Out["log"]["file"] = S.Log.File;
  Out["transport"]["client_threads"] = S.Transport.ClientThreads;
  Out["transport"]["server_threads"] = S.Transport.ServerThreads;
  Out["limits"]["queue_per_shard"] = S.Limits.QueuePerShard;
  Out["limits"]["max_in_flight"] = S.Limits.MaxInFlight;
  Out["limits"]["max_body_bytes"] = S.Limits.MaxBodyBytes;
  ordered_json &Policy = Out["policy"];
  Policy["routing"] = std::string(nameOf(RoutingPolicyNames, S.Policy.Routing));
  Policy["hedging"] = std::string(nameOf(HedgingChoiceNames, S.Policy.Hedging));
  Policy["hedge_delay_ms"] = absl::ToDoubleMilliseconds(S.Policy.HedgeDelay);
  Policy["extra_load_share"] = S.Policy.ExtraLoadShare;
  Out["drain"]["grace_ms"] = absl::ToDoubleMilliseconds(S.Drain.Grace);
  Out["trace"]["file"] = S.Trace.File;
  Out["trace"]["every"] = S.Trace.Every;
  constexpr int Indent = 2;
  return Out.dump(Indent) + "\n";
}

} // namespace quetzallead
