#include "load/LoadPlan.h"
#include "absl/strings/str_cat.h"
#include <algorithm>
#include <initializer_list>
#include <limits>
#include <nlohmann/json.hpp>

namespace quetzallead {

namespace {

using nlohmann::json;

/// An object of the plan together with its place, for messages.
struct PlanObject {
  const json &Value;
  std::string Where;
};

leaf::error_id invalid(const PlanObject &Object, const char *Key,
                       absl::string_view Message) {
  const std::string Field =
      Object.Where.empty() ? Key : absl::StrCat(Object.Where, ".", Key);
  return fail(ErrorCode::InvalidArgument, std::string(Message), Field);
}

/// Fails unless \p Object is an object with none but the keys of \p Known.
Result<void> checkKeys(const PlanObject &Object,
                       std::initializer_list<absl::string_view> Known) {
  if (!Object.Value.is_object())
    return fail(ErrorCode::InvalidArgument, "must be an object", Object.Where);
  for (const auto &Item : Object.Value.items())
    if (std::find(Known.begin(), Known.end(), Item.key()) == Known.end())
      return invalid(Object, Item.key().c_str(), "unknown key");
  return {};
}

/// Reads a number from \p Least to \p Most into \p Out if the key is there.
Result<void> readNumber(const PlanObject &Object, const char *Key, double Least,
                        double Most, double &Out) {
  const auto It = Object.Value.find(Key);
  if (It == Object.Value.end())
    return {};
  if (!It->is_number())
    return invalid(Object, Key, "must be a number");
  const auto Value = It->get<double>();
  if (Value < Least || Value > Most)
    return invalid(Object, Key,
                   absl::StrCat("must be from ", Least, " to ", Most));
  Out = Value;
  return {};
}

Result<void> readText(const PlanObject &Object, const char *Key,
                      std::string &Out) {
  const auto It = Object.Value.find(Key);
  if (It == Object.Value.end())
    return {};
  if (!It->is_string())
    return invalid(Object, Key, "must be a string");
  Out = It->get<std::string>();
  return {};
}

/// Reads a name of \p Table into \p Out if the key is there.
template <typename Enum, std::size_t N>
Result<void> readName(const PlanObject &Object, const char *Key,
                      const NamedValue<Enum> (&Table)[N], Enum &Out) {
  std::string Name(nameOf(Table, Out));
  BOOST_LEAF_CHECK(readText(Object, Key, Name));
  const std::optional<Enum> Value = valueOf(Table, Name);
  if (!Value)
    return invalid(Object, Key, absl::StrCat("unknown name \"", Name, "\""));
  Out = *Value;
  return {};
}

Result<void> readKeys(const PlanObject &Object,
                      std::vector<std::string> &Keys) {
  const auto It = Object.Value.find("keys");
  if (It == Object.Value.end())
    return {};
  if (!It->is_array())
    return invalid(Object, "keys", "must be a list of strings");
  for (const json &Key : *It) {
    if (!Key.is_string())
      return invalid(Object, "keys", "must be a list of strings");
    Keys.push_back(Key.get<std::string>());
  }
  return {};
}

Result<LoadStream> readStream(const PlanObject &Object) {
  BOOST_LEAF_CHECK(checkKeys(Object, {"kind", "service", "priority", "rate",
                                      "timeout_ms", "merge", "keys"}));
  LoadStream Stream;
  double TimeoutMs = absl::ToDoubleMilliseconds(Stream.Timeout);
  const double LongestMs = absl::ToDoubleMilliseconds(absl::Minutes(1));
  BOOST_LEAF_CHECK(readName(Object, "kind", RequestKindNames, Stream.Kind));
  BOOST_LEAF_CHECK(readName(Object, "priority", PriorityNames, Stream.Urgency));
  BOOST_LEAF_CHECK(readText(Object, "service", Stream.Service));
  BOOST_LEAF_CHECK(readText(Object, "merge", Stream.Merge));
  BOOST_LEAF_CHECK(readNumber(Object, "rate", 0, MaxLoadRate, Stream.Rate));
  BOOST_LEAF_CHECK(readNumber(Object, "timeout_ms", 1, LongestMs, TimeoutMs));
  BOOST_LEAF_CHECK(readKeys(Object, Stream.Keys));
  Stream.Timeout = absl::Milliseconds(TimeoutMs);
  if (Stream.Service.empty())
    return invalid(Object, "service", "must be given");
  if (Stream.Kind != RequestKind::Survey && Stream.Keys.empty())
    return invalid(Object, "keys", "lookups and commands need keys");
  return Stream;
}

Result<LoadPhase> readPhase(const PlanObject &Object) {
  BOOST_LEAF_CHECK(checkKeys(Object, {"from_s", "to_s", "factor"}));
  const double Longest = absl::ToDoubleSeconds(MaxLoadLength);
  double From = 0;
  double To = Longest;
  LoadPhase Phase;
  BOOST_LEAF_CHECK(readNumber(Object, "from_s", 0, Longest, From));
  BOOST_LEAF_CHECK(readNumber(Object, "to_s", From, Longest, To));
  BOOST_LEAF_CHECK(readNumber(Object, "factor", 0, MaxLoadRate, Phase.Factor));
  Phase.From = absl::Seconds(From);
  Phase.To = absl::Seconds(To);
  return Phase;
}

/// Reads each element of the list \p Key with \p Read.
template <typename T, typename Fn>
Result<void> readList(const PlanObject &Object, const char *Key, Fn Read,
                      std::vector<T> &Out) {
  const auto It = Object.Value.find(Key);
  if (It == Object.Value.end())
    return {};
  if (!It->is_array())
    return invalid(Object, Key, "must be a list");
  for (std::size_t I = 0; I < It->size(); ++I) {
    const PlanObject Element{(*It)[I], absl::StrCat(Key, "[", I, "]")};
    BOOST_LEAF_AUTO(Value, Read(Element));
    Out.push_back(std::move(Value));
  }
  return {};
}

Result<void> checkTotalRate(const LoadPlan &Plan) {
  double Sum = 0;
  for (const LoadStream &Stream : Plan.Streams)
    Sum += Stream.Rate;
  if (Sum * greatestLoadFactor(Plan) > MaxLoadRate)
    return fail(
        ErrorCode::InvalidArgument,
        absl::StrCat("rates and phases exceed ", MaxLoadRate, " a second"),
        "streams");
  return {};
}

} // namespace

Result<LoadPlan> parseLoadPlan(absl::string_view Text) {
  const json Document =
      json::parse(Text.begin(), Text.end(), nullptr, false, true);
  if (Document.is_discarded())
    return fail(ErrorCode::InvalidArgument, "the plan is not JSON");
  const PlanObject Root{Document, ""};
  BOOST_LEAF_CHECK(checkKeys(
      Root, {"seed", "length_s", "warmup_s", "sessions", "streams", "phases"}));
  LoadPlan Plan;
  double Seed = 1;
  double Length = absl::ToDoubleSeconds(Plan.Length);
  double Warmup = absl::ToDoubleSeconds(Plan.Warmup);
  double Sessions = Plan.Sessions;
  const double Longest = absl::ToDoubleSeconds(MaxLoadLength);
  constexpr double MostSessions = 10000;
  constexpr double MostSeed = std::numeric_limits<std::uint32_t>::max();
  BOOST_LEAF_CHECK(readNumber(Root, "seed", 0, MostSeed, Seed));
  BOOST_LEAF_CHECK(readNumber(Root, "length_s", 0, Longest, Length));
  BOOST_LEAF_CHECK(readNumber(Root, "warmup_s", 0, Longest, Warmup));
  BOOST_LEAF_CHECK(readNumber(Root, "sessions", 1, MostSessions, Sessions));
  BOOST_LEAF_CHECK(readList(Root, "streams", readStream, Plan.Streams));
  BOOST_LEAF_CHECK(readList(Root, "phases", readPhase, Plan.Phases));
  Plan.Seed = static_cast<std::uint64_t>(Seed);
  Plan.Length = absl::Seconds(Length);
  Plan.Warmup = absl::Seconds(Warmup);
  Plan.Sessions = static_cast<int>(Sessions);
  BOOST_LEAF_CHECK(checkTotalRate(Plan));
  return Plan;
}

double loadFactorAt(const LoadPlan &Plan, Duration Offset) {
  double Factor = 1;
  for (const LoadPhase &Phase : Plan.Phases)
    if (Offset >= Phase.From && Offset < Phase.To)
      Factor *= Phase.Factor;
  return Factor;
}

double greatestLoadFactor(const LoadPlan &Plan) {
  // The factor only changes where a phase begins or ends.
  double Greatest = loadFactorAt(Plan, absl::ZeroDuration());
  for (const LoadPhase &Phase : Plan.Phases) {
    Greatest = std::max(Greatest, loadFactorAt(Plan, Phase.From));
    Greatest = std::max(Greatest, loadFactorAt(Plan, Phase.To));
  }
  return Greatest;
}

} // namespace quetzallead
