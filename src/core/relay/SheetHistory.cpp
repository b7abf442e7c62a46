#include "core/relay/SheetHistory.h"
#include "core/base/Cbor.h"
#include "core/base/TextDelta.h"
#include <algorithm>
#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace quetzallead {

using nlohmann::json;

/// Versions before the one in force that are remembered, and their bytes.
static constexpr std::size_t MaxOldSheets = 4;
static constexpr std::size_t MaxOldBytes = std::size_t{4} << 20;
/// Longest text that an update may lead to.
static constexpr std::size_t MaxSheetBytes = std::size_t{64} << 20;

static constexpr char FromField[] = "from";
static constexpr char DeltaField[] = "delta";
static constexpr char HashField[] = "hash";

static std::uint64_t hashOf(absl::string_view Text) {
  return XXH3_64bits(Text.data(), Text.size());
}

bool isSheetUpdate(absl::string_view Message) {
  // The first byte of a map in CBOR. A text begins with a brace or with space.
  static constexpr unsigned MajorTypeMask = 0xE0;
  static constexpr unsigned MapType = 0xA0;
  return !Message.empty() &&
         (static_cast<unsigned char>(Message[0]) & MajorTypeMask) == MapType;
}

void SheetHistory::add(std::uint64_t Version, std::string Text) {
  Sheets.push_back(Sheet{Version, std::move(Text)});
  Updates.clear();
  std::size_t OldBytes = 0;
  for (const Sheet &S : Sheets)
    OldBytes += S.Text.size();
  OldBytes -= Sheets.back().Text.size();
  while (Sheets.size() > 1 &&
         (Sheets.size() > MaxOldSheets + 1 || OldBytes > MaxOldBytes)) {
    OldBytes -= Sheets.front().Text.size();
    Sheets.pop_front();
  }
}

const SheetHistory::Sheet *SheetHistory::find(std::uint64_t Version) const {
  auto Found =
      std::find_if(Sheets.begin(), Sheets.end(),
                   [Version](const Sheet &S) { return S.Version == Version; });
  return Found != Sheets.end() ? &*Found : nullptr;
}

const std::string &SheetHistory::updateFrom(std::uint64_t Known) {
  const Sheet *Old = find(Known);
  std::string &Update = Updates[Old != nullptr ? Known : 0];
  if (!Update.empty())
    return Update;
  json Message;
  Message[FromField] = Old != nullptr ? Known : 0;
  Message[DeltaField] = textDelta(Old != nullptr ? absl::string_view(Old->Text)
                                                 : absl::string_view(),
                                  text());
  Message[HashField] = hashOf(text());
  Update = cborOf(Message);
  return Update;
}

std::optional<std::string> SheetHistory::apply(absl::string_view Update) const {
  const json Message = parseCbor(Update);
  if (!Message.is_object())
    return std::nullopt;
  const auto From = Message.find(FromField);
  const auto Delta = Message.find(DeltaField);
  const auto Hash = Message.find(HashField);
  if (From == Message.end() || !From->is_number_unsigned() ||
      Delta == Message.end() || Hash == Message.end() ||
      !Hash->is_number_unsigned())
    return std::nullopt;
  const auto FromVersion = From->get<std::uint64_t>();
  const Sheet *Old = find(FromVersion);
  if (FromVersion != 0 && Old == nullptr)
    return std::nullopt;
  std::optional<std::string> Text = applyTextDelta(
      Old != nullptr ? absl::string_view(Old->Text) : absl::string_view(),
      *Delta, MaxSheetBytes);
  // Two texts under one version would otherwise be mixed.
  if (!Text || hashOf(*Text) != Hash->get<std::uint64_t>())
    return std::nullopt;
  return Text;
}

} // namespace quetzallead
