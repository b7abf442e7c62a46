#include "core/command/HandoverStatement.h"

#include "core/base/Cbor.h"
#include <algorithm>
#include <nlohmann/json.hpp>

namespace quetzallead {
namespace {

using nlohmann::json;

constexpr const char *InstanceField = "instance";
constexpr const char *IncarnationField = "inc";
constexpr const char *FloorField = "floor";
constexpr const char *SpentField = "spent";

/// Fields of one spent ticket, which is an array.
enum SpentIndex { Sequence, High, Low, Status, State, Remaining, Body, Fields };

/// Encoded bytes of one spent ticket apart from its body, at most.
constexpr std::size_t MaxSpentOverheadBytes = 72;
/// Encoded bytes of a statement apart from the spent tickets, at most.
constexpr std::size_t MaxHeadBytes = 512;
/// Longest remaining life that a reader accepts.
constexpr std::int64_t MaxRemainingMs = 24LL * 3600 * 1000;

json encodeSpent(std::uint64_t Number, const SpentTicket &Spent, bool WithBody,
                 TimePoint Now) {
  return json::array({Number, Spent.Fingerprint.High, Spent.Fingerprint.Low,
                      nameOf(CommandStatusNames, Spent.Status).data(),
                      nameOf(RunStateNames, Spent.State).data(),
                      absl::ToInt64Milliseconds(Spent.Expires - Now),
                      WithBody ? Spent.Body : std::string()});
}

bool isWellFormedSpent(const json &Row) {
  return Row.is_array() && Row.size() == SpentIndex::Fields &&
         Row[Sequence].is_number_unsigned() && Row[High].is_number_unsigned() &&
         Row[Low].is_number_unsigned() && Row[Status].is_string() &&
         Row[State].is_string() && Row[Remaining].is_number_integer() &&
         Row[Body].is_string();
}

std::optional<SpentTicket> decodeSpent(const json &Row, TimePoint Now) {
  const auto StatusValue =
      valueOf(CommandStatusNames, Row[Status].get_ref<const std::string &>());
  const auto StateValue =
      valueOf(RunStateNames, Row[State].get_ref<const std::string &>());
  if (!StatusValue || !StateValue)
    return std::nullopt;
  SpentTicket Spent;
  Spent.Fingerprint = {Row[High].get<std::uint64_t>(),
                       Row[Low].get<std::uint64_t>()};
  Spent.Status = *StatusValue;
  Spent.State = *StateValue;
  Spent.Body = Row[Body].get<std::string>();
  const auto RemainingMs = Row[Remaining].get<std::int64_t>();
  Spent.Expires = Now + absl::Milliseconds(std::clamp(
                            RemainingMs, -MaxRemainingMs, MaxRemainingMs));
  return Spent;
}

bool isWellFormed(const json &Map) {
  return Map.is_object() && Map.contains(InstanceField) &&
         Map[InstanceField].is_string() && Map.contains(IncarnationField) &&
         Map[IncarnationField].is_number_unsigned() &&
         Map.contains(FloorField) && Map[FloorField].is_number_unsigned() &&
         Map.contains(SpentField) && Map[SpentField].is_array();
}

} // namespace

std::string encodeHandover(const HandoverStatement &Statement, TimePoint Now) {
  json Rows = json::array();
  const std::size_t Fixed =
      MaxHeadBytes + Statement.Spent.size() * MaxSpentOverheadBytes;
  std::size_t BodyBytes = 0;
  for (const auto &[Number, Spent] : Statement.Spent) {
    const bool Fits =
        Fixed + BodyBytes + Spent.Body.size() <= HandoverStatement::MaxBytes;
    if (Fits)
      BodyBytes += Spent.Body.size();
    Rows.push_back(encodeSpent(Number, Spent, Fits, Now));
  }
  return cborOf(json{{InstanceField, Statement.Instance},
                     {IncarnationField, Statement.Incarnation},
                     {FloorField, Statement.Floor},
                     {SpentField, std::move(Rows)}});
}

std::optional<HandoverStatement> decodeHandover(absl::string_view Bytes,
                                                TimePoint Now) {
  if (Bytes.size() > HandoverStatement::MaxBytes)
    return std::nullopt;
  const json Map = parseCbor(Bytes);
  if (!isWellFormed(Map))
    return std::nullopt;
  HandoverStatement Statement;
  Statement.Instance = Map[InstanceField].get<std::string>();
  Statement.Incarnation = Map[IncarnationField].get<std::uint64_t>();
  Statement.Floor = Map[FloorField].get<std::uint64_t>();
  for (const json &Row : Map[SpentField]) {
    if (!isWellFormedSpent(Row))
      return std::nullopt;
    std::optional<SpentTicket> Spent = decodeSpent(Row, Now);
    if (!Spent)
      return std::nullopt;
    Statement.Spent.emplace(Row[Sequence].get<std::uint64_t>(),
                            *std::move(Spent));
  }
  return Statement;
}

} // namespace quetzallead
