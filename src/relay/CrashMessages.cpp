#include "relay/CrashMessages.h"
#include "core/base/Cbor.h"
#include <cstdint>
#include <nlohmann/json.hpp>

namespace quetzallead {

static constexpr char FingerprintField[] = "fingerprint";
static constexpr char EndsField[] = "ends_ms";
static constexpr char ServedField[] = "served_ms";
/// Limits of what is read.
static constexpr std::size_t MaxNameBytes = 256;
static constexpr std::size_t MaxEndsRead = 16;
static constexpr std::int64_t MaxAgeMs = std::int64_t{24} * 3600 * 1000;

std::string encodeCrashReports(const std::vector<CrashReport> &Reports) {
  nlohmann::json List = nlohmann::json::array();
  for (const CrashReport &Report : Reports) {
    nlohmann::json Item;
    Item[FingerprintField] = Report.Fingerprint;
    Item[EndsField] = nlohmann::json::object();
    for (const auto &[Incarnation, Age] : Report.Ends)
      Item[EndsField][Incarnation] = absl::ToInt64Milliseconds(Age);
    if (Report.ServedAge)
      Item[ServedField] = absl::ToInt64Milliseconds(*Report.ServedAge);
    List.push_back(std::move(Item));
  }
  return cborOf(List);
}

static std::optional<Duration> decodeAge(const nlohmann::json &Value) {
  if (!Value.is_number_integer())
    return std::nullopt;
  const auto Millis = Value.get<std::int64_t>();
  if (Millis < 0 || Millis > MaxAgeMs)
    return std::nullopt;
  return absl::Milliseconds(Millis);
}

static bool isName(const nlohmann::json &Value) {
  return Value.is_string() &&
         Value.get_ref<const std::string &>().size() <= MaxNameBytes;
}

static std::optional<CrashReport> decodeReport(const nlohmann::json &Item) {
  if (!Item.is_object() || !Item.contains(FingerprintField) ||
      !isName(Item[FingerprintField]))
    return std::nullopt;
  CrashReport Report;
  Report.Fingerprint = Item[FingerprintField].get<std::string>();
  auto Ends = Item.find(EndsField);
  if (Ends != Item.end() && Ends->is_object() && Ends->size() <= MaxEndsRead)
    for (const auto &[Incarnation, Value] : Ends->items()) {
      const auto Age = decodeAge(Value);
      if (Age && Incarnation.size() <= MaxNameBytes)
        Report.Ends[Incarnation] = *Age;
    }
  auto Served = Item.find(ServedField);
  if (Served != Item.end())
    Report.ServedAge = decodeAge(*Served);
  return Report;
}

std::optional<std::vector<CrashReport>>
decodeCrashReports(absl::string_view Bytes) {
  const nlohmann::json List = parseCbor(Bytes);
  if (!List.is_array())
    return std::nullopt;
  std::vector<CrashReport> Reports;
  for (const nlohmann::json &Item : List) {
    if (Reports.size() == MaxCrashReports)
      break;
    if (auto Report = decodeReport(Item))
      Reports.push_back(std::move(*Report));
  }
  return Reports;
}

} // namespace quetzallead
