#include "core/base/TextDelta.h"
#include "absl/container/flat_hash_map.h"
#include "absl/strings/str_cat.h"
#include <cstdint>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

namespace quetzallead {

using nlohmann::json;

static constexpr char PieceEnd = '}';

static std::vector<absl::string_view> splitPieces(absl::string_view Text) {
  std::vector<absl::string_view> Out;
  while (!Text.empty()) {
    const std::size_t End = Text.find(PieceEnd);
    Out.push_back(
        Text.substr(0, End == absl::string_view::npos ? End : End + 1));
    Text.remove_prefix(Out.back().size());
  }
  return Out;
}

json textDelta(absl::string_view Old, absl::string_view New) {
  const std::vector<absl::string_view> OldPieces = splitPieces(Old);
  absl::flat_hash_map<absl::string_view, std::size_t> Positions;
  for (std::size_t I = 0; I < OldPieces.size(); ++I)
    Positions.try_emplace(OldPieces[I], I);
  // Either text that is not in Old, or the first piece of a run and its length.
  json Delta = json::array();
  std::string Added;
  std::size_t RunBegin = 0;
  std::size_t RunEnd = 0;
  auto Flush = [&] {
    if (!Added.empty())
      Delta.push_back(std::exchange(Added, std::string()));
    if (RunEnd > RunBegin)
      Delta.push_back(json::array({RunBegin, RunEnd - RunBegin}));
    RunBegin = RunEnd = 0;
  };
  for (absl::string_view Piece : splitPieces(New)) {
    if (RunEnd > RunBegin && RunEnd < OldPieces.size() &&
        OldPieces[RunEnd] == Piece) {
      ++RunEnd;
      continue;
    }
    auto Found = Positions.find(Piece);
    if (RunEnd > RunBegin || (Found != Positions.end() && !Added.empty()))
      Flush();
    if (Found == Positions.end()) {
      absl::StrAppend(&Added, Piece);
      continue;
    }
    RunBegin = Found->second;
    RunEnd = RunBegin + 1;
  }
  Flush();
  return Delta;
}

std::optional<std::string>
applyTextDelta(absl::string_view Old, const json &Delta, std::size_t MaxBytes) {
  if (!Delta.is_array())
    return std::nullopt;
  const std::vector<absl::string_view> OldPieces = splitPieces(Old);
  std::string Out;
  auto Append = [&Out, MaxBytes](absl::string_view Text) {
    if (Text.size() > MaxBytes - Out.size())
      return false;
    absl::StrAppend(&Out, Text);
    return true;
  };
  for (const json &Item : Delta) {
    if (Item.is_string()) {
      if (!Append(Item.get_ref<const std::string &>()))
        return std::nullopt;
      continue;
    }
    if (!Item.is_array() || Item.size() != 2 || !Item[0].is_number_unsigned() ||
        !Item[1].is_number_unsigned())
      return std::nullopt;
    const auto Begin = Item[0].get<std::uint64_t>();
    const auto Count = Item[1].get<std::uint64_t>();
    if (Begin > OldPieces.size() || Count > OldPieces.size() - Begin)
      return std::nullopt;
    for (std::uint64_t I = Begin; I < Begin + Count; ++I)
      if (!Append(OldPieces[I]))
        return std::nullopt;
  }
  return Out;
}

} // namespace quetzallead
