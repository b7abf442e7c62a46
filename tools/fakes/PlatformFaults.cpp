#include "fakes/PlatformFaults.h"
#include "absl/strings/str_cat.h"

namespace quetzallead {

using nlohmann::json;

static bool setMillis(Duration &Field, const json &Value) {
  if (!Value.is_number() || Value.get<double>() < 0)
    return false;
  Field = absl::Milliseconds(Value.get<double>());
  return true;
}

static bool setNodes(std::set<std::string> &Field, const json &Value) {
  if (!Value.is_array())
    return false;
  Field.clear();
  for (const json &Node : Value) {
    if (!Node.is_string())
      return false;
    Field.insert(Node.get<std::string>());
  }
  return true;
}

static bool setOutage(Outage &Field, const json &Value) {
  if (!Value.is_string())
    return false;
  const auto Kind = valueOf(OutageNames, Value.get_ref<const std::string &>());
  Field = Kind.value_or(Field);
  return Kind.has_value();
}

static bool setField(PlatformFaults &Faults, const std::string &Name,
                     const json &Value) {
  if (Name == "outage")
    return setOutage(Faults.Down, Value);
  if (Name == "slow_ms")
    return setMillis(Faults.Slow, Value);
  if (Name == "slow_answer_ms")
    return setMillis(Faults.SlowAnswer, Value);
  if (Name == "hidden_nodes")
    return setNodes(Faults.HiddenNodes, Value);
  if (Name == "frozen_list" && Value.is_boolean()) {
    Faults.FrozenList = Value.get<bool>();
    return true;
  }
  if (Name == "lose_write_answers" && Value.is_number_unsigned()) {
    Faults.LoseWriteAnswers = Value.get<std::int64_t>();
    return true;
  }
  return false;
}

std::string mergeFaults(PlatformFaults &Faults, const json &Patch) {
  if (!Patch.is_object())
    return "faults must be an object";
  PlatformFaults Merged = Faults;
  for (const auto &Item : Patch.items())
    if (!setField(Merged, Item.key(), Item.value()))
      return absl::StrCat("unknown fault or bad value: \"", Item.key(), "\"");
  Faults = Merged;
  return "";
}

} // namespace quetzallead
