#ifndef QUETZALLEAD_CORE_BASE_JSONREADER_H
#define QUETZALLEAD_CORE_BASE_JSONREADER_H

#include "absl/strings/string_view.h"
#include "quetzallead/Error.h"
#include "quetzallead/NameTable.h"
#include "quetzallead/Time.h"
#include <cstddef>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

namespace quetzallead {

/// The first problem found while a document is read.
using JsonProblem = std::optional<Error>;

/// Reads one JSON object key by key and checks type and range of each. The
/// first problem goes to the JsonProblem shared by all readers of a document;
/// reading then goes on with defaults, so that callers check once, at the end.
/// An accessor without a default reads a required key. Keys that no accessor
/// asked for are refused by finish().
class JsonReader {
public:
  /// \p Object and \p Problem must outlive the reader. \p Path is the place of
  /// the object in its document, empty for the root.
  JsonReader(const nlohmann::json &Object, std::string Path,
             JsonProblem &Problem);

  bool has(absl::string_view Key) const;
  const std::string &path() const { return Path; }
  /// "path.key".
  std::string pathOf(absl::string_view Key) const;

  /// A string of \p Least to \p Most bytes.
  std::string text(absl::string_view Key, std::size_t Least, std::size_t Most,
                   std::optional<std::string> Default = std::nullopt);
  /// A name: 1 to 64 of letters, digits, '.', '_' and '-', beginning with a
  /// letter or digit.
  std::string name(absl::string_view Key);
  /// "ip:port" with a numeric IPv4 or bracketed IPv6 address.
  std::string address(absl::string_view Key,
                      std::optional<std::string> Default = std::nullopt);
  std::int64_t integer(absl::string_view Key, std::int64_t Least,
                       std::int64_t Most,
                       std::optional<std::int64_t> Default = std::nullopt);
  double number(absl::string_view Key, double Least, double Most,
                std::optional<double> Default = std::nullopt);
  bool boolean(absl::string_view Key,
               std::optional<bool> Default = std::nullopt);
  /// A number of milliseconds, kept to the microsecond.
  Duration milliseconds(absl::string_view Key, Duration Least, Duration Most,
                        std::optional<Duration> Default = std::nullopt);
  /// A string that stands in \p Table.
  template <typename Enum, std::size_t N>
  Enum choice(absl::string_view Key, const NamedValue<Enum> (&Table)[N],
              std::optional<Enum> Default = std::nullopt) {
    if (Default && !has(Key)) {
      expect(Key);
      return *Default;
    }
    std::vector<std::string> Names;
    for (const NamedValue<Enum> &Row : Table)
      Names.emplace_back(Row.Name);
    std::optional<Enum> Value = valueOf(Table, choiceText(Key, Names));
    return Value ? *Value : Table[0].Value;
  }
  /// An array of strings, each of 1 to \p MostBytes bytes; empty if absent.
  std::vector<std::string> texts(absl::string_view Key, std::size_t MostCount,
                                 std::size_t MostBytes);
  /// Readers of the elements of a required array of objects.
  std::vector<JsonReader> objects(absl::string_view Key, std::size_t Least,
                                  std::size_t Most);
  /// The reader of a required object.
  JsonReader object(absl::string_view Key);
  /// The reader of an object that may be absent and then reads as {}.
  JsonReader optionalObject(absl::string_view Key);
  /// Any value; null if absent.
  const nlohmann::json &any(absl::string_view Key);

  /// Records a problem with \p Key unless there was one before.
  void refuse(absl::string_view Key, std::string Message);
  /// Refuses keys that were not asked for, naming the nearest known key.
  void finish();

private:
  void expect(absl::string_view Key);
  /// The value of a key; null and a problem if it is absent.
  const nlohmann::json *required(absl::string_view Key);
  std::string choiceText(absl::string_view Key,
                         const std::vector<std::string> &Names);

  const nlohmann::json *Object;
  std::string Path;
  JsonProblem *Problem;
  std::vector<std::string> Expected;
};

/// True if \p Text is a numeric "ip:port", IPv6 in brackets, port 0 to 65535.
bool isSocketAddress(absl::string_view Text);

/// True if \p Text is a name as JsonReader::name() accepts it.
bool isPlainName(absl::string_view Text);

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_BASE_JSONREADER_H
