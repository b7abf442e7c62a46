#include "fakes/ServerFaults.h"
#include "absl/strings/str_cat.h"

namespace quetzallead {
namespace {

using nlohmann::json;

bool setBool(bool &Field, const json &Value) {
  if (!Value.is_boolean())
    return false;
  Field = Value.get<bool>();
  return true;
}

bool setNumber(double &Field, const json &Value) {
  if (!Value.is_number())
    return false;
  Field = Value.get<double>();
  return true;
}

template <typename Int> bool setInteger(Int &Field, const json &Value) {
  if (!Value.is_number_integer() || Value.get<double>() < 0)
    return false;
  Field = Value.get<Int>();
  return true;
}

bool setMillis(Duration &Field, const json &Value) {
  double Millis = 0;
  if (!setNumber(Millis, Value) || Millis < 0)
    return false;
  Field = absl::Milliseconds(Millis);
  return true;
}

bool setServiceTime(std::optional<Duration> &Field, const json &Value) {
  Duration Time;
  if (!setMillis(Time, Value))
    return false;
  Field = Time;
  return true;
}

bool setExchange(ExchangeFault &Field, const json &Value) {
  if (!Value.is_string())
    return false;
  const auto Fault =
      valueOf(ExchangeFaultNames, Value.get_ref<const std::string &>());
  Field = Fault.value_or(Field);
  return Fault.has_value();
}

bool setHealth(std::optional<std::string> &Field, const json &Value) {
  if (!Value.is_string())
    return false;
  Field = Value.get<std::string>();
  return true;
}

bool setLoad(json &Field, const json &Value) {
  Field = Value;
  return Value.is_object();
}

bool setCount(std::optional<std::int64_t> &Field, const json &Value) {
  std::int64_t Count = 0;
  if (!setInteger(Count, Value))
    return false;
  Field = Count;
  return true;
}

/// One field of the JSON form.
struct FieldRule {
  absl::string_view Name;
  bool (*Set)(ServerFaults &, const json &);
  void (*Reset)(ServerFaults &);
};

#define QUETZALLEAD_FAULT(Name, Field, Setter)                                 \
  FieldRule {                                                                  \
    Name, [](ServerFaults &F, const json &V) { return Setter(F.Field, V); },   \
        [](ServerFaults &F) { F.Field = ServerFaults().Field; }                \
  }

const FieldRule FieldRules[] = {
    QUETZALLEAD_FAULT("latency_ms", Latency, setMillis),
    QUETZALLEAD_FAULT("latency_share", LatencyShare, setNumber),
    QUETZALLEAD_FAULT("service_time_factor", ServiceTimeFactor, setNumber),
    QUETZALLEAD_FAULT("service_time_ms", ServiceTime, setServiceTime),
    QUETZALLEAD_FAULT("frozen", Frozen, setBool),
    QUETZALLEAD_FAULT("shed_share", ShedShare, setNumber),
    QUETZALLEAD_FAULT("queue_limit", QueueLimit, setInteger),
    QUETZALLEAD_FAULT("draining", Draining, setBool),
    QUETZALLEAD_FAULT("starting", Starting, setBool),
    QUETZALLEAD_FAULT("cold_requests", ColdRequests, setInteger),
    QUETZALLEAD_FAULT("cold_factor", ColdFactor, setNumber),
    QUETZALLEAD_FAULT("epoch", Epoch, setInteger),
    QUETZALLEAD_FAULT("oldest", Oldest, setInteger),
    QUETZALLEAD_FAULT("newest", Newest, setInteger),
    QUETZALLEAD_FAULT("exchange", Exchange, setExchange),
    QUETZALLEAD_FAULT("exchange_share", ExchangeShare, setNumber),
    QUETZALLEAD_FAULT("exchange_count", ExchangeCount, setCount),
    QUETZALLEAD_FAULT("cut_bytes", CutBytes, setInteger),
    QUETZALLEAD_FAULT("reported_load", ReportedLoad, setLoad),
    QUETZALLEAD_FAULT("reported_health", ReportedHealth, setHealth),
    QUETZALLEAD_FAULT("refuse_connections", RefuseConnections, setBool),
    QUETZALLEAD_FAULT("listening", Listening, setBool),
};

#undef QUETZALLEAD_FAULT

const FieldRule *findRule(absl::string_view Name) {
  for (const FieldRule &Rule : FieldRules)
    if (Rule.Name == Name)
      return &Rule;
  return nullptr;
}

} // namespace

std::string mergeFaults(ServerFaults &Faults, const json &Patch) {
  if (!Patch.is_object())
    return "faults must be an object";
  ServerFaults Merged = Faults;
  for (const auto &Item : Patch.items()) {
    const FieldRule *Rule = findRule(Item.key());
    if (Rule == nullptr)
      return absl::StrCat("unknown fault \"", Item.key(), "\"");
    if (Item.value().is_null())
      Rule->Reset(Merged);
    else if (!Rule->Set(Merged, Item.value()))
      return absl::StrCat("bad value of \"", Item.key(), "\"");
  }
  Faults = Merged;
  return "";
}

json toJson(const ServerFaults &Faults) {
  json Out = {
      {"latency_ms", absl::ToDoubleMilliseconds(Faults.Latency)},
      {"latency_share", Faults.LatencyShare},
      {"service_time_factor", Faults.ServiceTimeFactor},
      {"service_time_ms", nullptr},
      {"frozen", Faults.Frozen},
      {"shed_share", Faults.ShedShare},
      {"queue_limit", Faults.QueueLimit},
      {"draining", Faults.Draining},
      {"starting", Faults.Starting},
      {"cold_requests", Faults.ColdRequests},
      {"cold_factor", Faults.ColdFactor},
      {"epoch", Faults.Epoch},
      {"oldest", Faults.Oldest},
      {"newest", Faults.Newest},
      {"exchange", std::string(nameOf(ExchangeFaultNames, Faults.Exchange))},
      {"exchange_share", Faults.ExchangeShare},
      {"exchange_count", nullptr},
      {"cut_bytes", Faults.CutBytes},
      {"reported_load", Faults.ReportedLoad},
      {"reported_health", nullptr},
      {"refuse_connections", Faults.RefuseConnections},
      {"listening", Faults.Listening}};
  if (Faults.ServiceTime)
    Out["service_time_ms"] = absl::ToDoubleMilliseconds(*Faults.ServiceTime);
  if (Faults.ExchangeCount)
    Out["exchange_count"] = *Faults.ExchangeCount;
  if (Faults.ReportedHealth)
    Out["reported_health"] = *Faults.ReportedHealth;
  return Out;
}

} // namespace quetzallead
