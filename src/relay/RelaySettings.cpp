#include "relay/RelaySettings.h"
#include "core/base/JsonReader.h"
#include "core/base/JsonText.h"
#include "runtime/FileText.h"
#include <nlohmann/json.hpp>

namespace quetzallead {

static constexpr std::size_t MaxSettingsBytes = std::size_t{64} * 1024;
static constexpr Duration MaxDuration = absl::Hours(1);
static constexpr double MaxExtraLoadBase = 1e6;
static constexpr double MaxLogLinesPerSecond = 1e5;
static constexpr double MaxResource = 1e9;
static constexpr double MaxHomesPerZone = 1000;

/// Reads an object of regions by availability zone, which may be absent.
static void readZoneRegions(JsonReader &Reader, const char *Key,
                            std::map<std::string, std::string> &Out) {
  const nlohmann::json &Zones = Reader.any(Key);
  if (!Zones.is_object()) {
    if (!Zones.is_null())
      Reader.refuse(Key, "must be an object of regions by zone");
    return;
  }
  for (const auto &[Zone, Region] : Zones.items()) {
    if (Region.is_string())
      Out[Zone] = Region.get<std::string>();
    else
      Reader.refuse(Key, "the region of " + Zone + " must be a string");
  }
}

static RelaySettings readSettings(JsonReader &Reader) {
  RelaySettings S;
  S.Instance = Reader.name("instance");
  S.Zone = Reader.name("zone");
  readZoneRegions(Reader, "zone_regions", S.ZoneRegions);
  S.CallerListen = Reader.address("caller_listen");
  S.ReadinessListen = Reader.address("readiness_listen");
  if (Reader.has("metrics_listen"))
    S.MetricsListen = Reader.address("metrics_listen");
  JsonReader Store = Reader.object("store");
  S.StoreAddress = Store.address("address");
  S.StoreTimeout = Store.milliseconds("timeout_ms", absl::Milliseconds(1),
                                      MaxDuration, S.StoreTimeout);
  S.ReturnTime = Store.milliseconds("return_time_ms", absl::ZeroDuration(),
                                    MaxDuration, S.ReturnTime);
  S.LapseTime = Store.milliseconds("lapse_time_ms", absl::Milliseconds(1),
                                   MaxDuration, S.LapseTime);
  S.LeavingTime = Store.milliseconds("leaving_time_ms", absl::ZeroDuration(),
                                     MaxDuration, S.LeavingTime);
  Store.finish();
  if (Reader.has("link_listen"))
    S.LinkListen = Reader.address("link_listen");
  JsonReader Machine = Reader.optionalObject("machine");
  S.Machine.Cores = Machine.number("cores", 0, MaxResource, S.Machine.Cores);
  S.Machine.MemoryMb =
      Machine.number("memory_mb", 0, MaxResource, S.Machine.MemoryMb);
  S.Machine.Descriptors =
      Machine.number("descriptors", 0, MaxResource, S.Machine.Descriptors);
  S.Machine.LinkMbps =
      Machine.number("link_mbps", 0, MaxResource, S.Machine.LinkMbps);
  Machine.finish();
  JsonReader Homes = Reader.optionalObject("homes");
  S.Homes.PerZone = static_cast<int>(
      Homes.number("per_zone", 1, MaxHomesPerZone, S.Homes.PerZone));
  S.Homes.SparesPerZone = static_cast<int>(Homes.number(
      "spares_per_zone", 0, MaxHomesPerZone, S.Homes.SparesPerZone));
  S.Homes.AllUpTo = static_cast<int>(
      Homes.number("all_up_to", 0, MaxHomesPerZone, S.Homes.AllUpTo));
  Homes.finish();
  JsonReader Stop = Reader.optionalObject("stop");
  S.StopGrace = absl::Seconds(Stop.number("grace_s", 0,
                                          absl::ToDoubleSeconds(MaxDuration),
                                          absl::ToDoubleSeconds(S.StopGrace)));
  Stop.finish();
  JsonReader Extra = Reader.optionalObject("extra_load");
  S.ExtraLoad.Share = Extra.number("share", 0, 1, S.ExtraLoad.Share);
  S.ExtraLoad.Base =
      Extra.number("base", 0, MaxExtraLoadBase, S.ExtraLoad.Base);
  S.ExtraLoad.Window = absl::Seconds(
      Extra.number("window_s", 0.1, absl::ToDoubleSeconds(MaxDuration),
                   absl::ToDoubleSeconds(S.ExtraLoad.Window)));
  Extra.finish();
  JsonReader Log = Reader.optionalObject("log");
  S.Log = Log.choice("level", LogLevelNames, std::make_optional(S.Log));
  S.LogLinesPerSecond = Log.number("lines_per_second", 0.1,
                                   MaxLogLinesPerSecond, S.LogLinesPerSecond);
  Log.finish();
  Reader.finish();
  return S;
}

Result<RelaySettings> parseRelaySettings(absl::string_view Text) {
  JsonLimits Limits;
  Limits.MaxBytes = MaxSettingsBytes;
  Result<nlohmann::json> Document = parseJsonText(Text, Limits);
  if (!Document)
    return Document.error();
  JsonProblem Problem;
  JsonReader Reader(Document.value(), std::string(), Problem);
  RelaySettings S = readSettings(Reader);
  if (Problem)
    return leaf::new_error(*Problem);
  return S;
}

Result<RelaySettings> loadRelaySettings(const std::string &Path) {
  Result<std::string> Text = readFileText(Path, MaxSettingsBytes);
  if (!Text)
    return Text.error();
  return namingFile(Path, [&] { return parseRelaySettings(Text.value()); });
}

Result<bool> applyZoneRegions(absl::string_view Text, RelaySettings &S) {
  JsonLimits Limits;
  Limits.MaxBytes = MaxSettingsBytes;
  Result<nlohmann::json> Zones = parseJsonText(Text, Limits);
  if (!Zones)
    return Zones.error();
  const nlohmann::json Document = {{ZoneRegionsVariable, Zones.value()}};
  JsonProblem Problem;
  JsonReader Reader(Document, std::string(), Problem);
  std::map<std::string, std::string> Regions;
  readZoneRegions(Reader, ZoneRegionsVariable, Regions);
  if (Problem)
    return leaf::new_error(*Problem);
  S.ZoneRegions = std::move(Regions);
  return true;
}

std::string formatRelaySettings(const RelaySettings &S) {
  nlohmann::ordered_json Out;
  Out["instance"] = S.Instance;
  Out["zone"] = S.Zone;
  if (!S.ZoneRegions.empty())
    Out["zone_regions"] = S.ZoneRegions;
  Out["caller_listen"] = S.CallerListen;
  Out["readiness_listen"] = S.ReadinessListen;
  if (!S.MetricsListen.empty())
    Out["metrics_listen"] = S.MetricsListen;
  if (!S.LinkListen.empty())
    Out["link_listen"] = S.LinkListen;
  Out["machine"]["cores"] = S.Machine.Cores;
  Out["machine"]["memory_mb"] = S.Machine.MemoryMb;
  Out["machine"]["descriptors"] = S.Machine.Descriptors;
  Out["machine"]["link_mbps"] = S.Machine.LinkMbps;
  Out["homes"]["per_zone"] = S.Homes.PerZone;
  Out["homes"]["spares_per_zone"] = S.Homes.SparesPerZone;
  Out["homes"]["all_up_to"] = S.Homes.AllUpTo;
  Out["store"]["address"] = S.StoreAddress;
  Out["store"]["timeout_ms"] = absl::ToDoubleMilliseconds(S.StoreTimeout);
  Out["store"]["return_time_ms"] = absl::ToDoubleMilliseconds(S.ReturnTime);
  Out["store"]["lapse_time_ms"] = absl::ToDoubleMilliseconds(S.LapseTime);
  Out["store"]["leaving_time_ms"] = absl::ToDoubleMilliseconds(S.LeavingTime);
  Out["stop"]["grace_s"] = absl::ToDoubleSeconds(S.StopGrace);
  Out["extra_load"]["share"] = S.ExtraLoad.Share;
  Out["extra_load"]["base"] = S.ExtraLoad.Base;
  Out["extra_load"]["window_s"] = absl::ToDoubleSeconds(S.ExtraLoad.Window);
  Out["log"]["level"] = std::string(nameOf(LogLevelNames, S.Log));
  Out["log"]["lines_per_second"] = S.LogLinesPerSecond;
  constexpr int Indent = 2;
  return Out.dump(Indent) + "\n";
}

} // namespace quetzallead
