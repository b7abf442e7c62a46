#include "capacity/SlopeTable.h"
#include "absl/strings/str_cat.h"
#include <nlohmann/json.hpp>

namespace quetzallead {

namespace {

using nlohmann::json;

std::string textAt(const json &Entry, const char *Key) {
  const auto It = Entry.find(Key);
  if (It == Entry.end() || !It->is_string())
    return {};
  return It->get<std::string>();
}

double numberAt(const json &Entry, const char *Key) {
  const auto It = Entry.find(Key);
  if (It == Entry.end() || !It->is_number())
    return 0;
  return It->get<double>();
}

Result<Slope> readSlope(const json &Entry, const std::string &Where) {
  if (!Entry.is_object())
    return fail(ErrorCode::InvalidArgument, "must be an object", Where);
  Slope Read;
  Read.Name = textAt(Entry, "name");
  Read.Value = numberAt(Entry, "value");
  Read.Unit = textAt(Entry, "unit");
  Read.MeasuredUpTo = numberAt(Entry, "measured_up_to");
  Read.Command = textAt(Entry, "command");
  Read.Commit = textAt(Entry, "commit");
  const auto Status = valueOf(SlopeStatusNames, textAt(Entry, "status"));
  if (Read.Name.empty() || Read.Unit.empty())
    return fail(ErrorCode::InvalidArgument, "needs name and unit", Where);
  if (!Status)
    return fail(ErrorCode::InvalidArgument, "unknown status", Where);
  Read.Status = *Status;
  const bool Measured = Read.Status == SlopeStatus::Measured;
  if (Measured && (Read.Command.empty() || Read.Commit.empty()))
    return fail(ErrorCode::InvalidArgument,
                "a measured slope needs command and commit", Where);
  return Read;
}

} // namespace

Slope SlopeTable::find(absl::string_view Name) const {
  for (const Slope &Known : Slopes)
    if (Known.Name == Name)
      return Known;
  Slope Unknown;
  Unknown.Name = std::string(Name);
  return Unknown;
}

Result<SlopeTable> parseSlopes(absl::string_view Text) {
  const json Document =
      json::parse(Text.begin(), Text.end(), nullptr, false, true);
  if (!Document.is_object() || !Document.contains("slopes") ||
      !Document["slopes"].is_array())
    return fail(ErrorCode::InvalidArgument, "must hold a list", "slopes");
  std::vector<Slope> Slopes;
  for (std::size_t I = 0; I < Document["slopes"].size(); ++I) {
    const std::string Where = absl::StrCat("slopes[", I, "]");
    BOOST_LEAF_AUTO(Read, readSlope(Document["slopes"][I], Where));
    Slopes.push_back(std::move(Read));
  }
  return SlopeTable(std::move(Slopes));
}

} // namespace quetzallead
