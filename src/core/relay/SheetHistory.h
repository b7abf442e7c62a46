#ifndef QUETZALLEAD_CORE_RELAY_SHEETHISTORY_H
#define QUETZALLEAD_CORE_RELAY_SHEETHISTORY_H

#include "absl/strings/string_view.h"
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace quetzallead {

/// Whether \p Message is an update rather than the text of a sheet, which an
/// instance of an older version sends.
bool isSheetUpdate(absl::string_view Message);

/// The text of the sheet in force and of a few before it, from which instances
/// bring each other up to date: versions that come in quick succession differ
/// by little, and the whole text of 600 routes to each of 91 instances takes
/// more of the links and of their processors than the requests.
class SheetHistory {
public:
  /// Takes the text of a newer version.
  void add(std::uint64_t Version, std::string Text);
  /// 0 before the first sheet.
  std::uint64_t version() const {
    return Sheets.empty() ? 0 : Sheets.back().Version;
  }
  /// The text in force. There must be a sheet.
  const std::string &text() const { return Sheets.back().Text; }

  /// Encodes what an instance needs that has version \p Known; the whole text
  /// if that version is not remembered. There must be a sheet.
  const std::string &updateFrom(std::uint64_t Known);
  /// Returns the text that the update of another instance leads to; nothing if
  /// it is malformed or begins with a version that is not remembered.
  std::optional<std::string> apply(absl::string_view Update) const;

private:
  struct Sheet {
    std::uint64_t Version = 0;
    std::string Text;
  };

  /// Returns the sheet of \p Version, or null if it is not remembered.
  const Sheet *find(std::uint64_t Version) const;

  /// Older versions first.
  std::deque<Sheet> Sheets;
  /// Updates to the version in force, by the version that they begin with.
  std::map<std::uint64_t, std::string> Updates;
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_SHEETHISTORY_H
