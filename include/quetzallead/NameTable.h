#ifndef QUETZALLEAD_NAMETABLE_H
#define QUETZALLEAD_NAMETABLE_H

#include "absl/strings/string_view.h"
#include <cstddef>
#include <optional>

namespace quetzallead {

/// One row of an enum's table of names.
template <typename Enum> struct NamedValue {
  Enum Value;
  absl::string_view Name;
};

/// The name of \p Value in \p Table; "?" if the table lacks it.
template <typename Enum, std::size_t N>
absl::string_view nameOf(const NamedValue<Enum> (&Table)[N], Enum Value) {
  for (const NamedValue<Enum> &Row : Table)
    if (Row.Value == Value)
      return Row.Name;
  return "?";
}

/// The value called \p Name in \p Table, if any.
template <typename Enum, std::size_t N>
std::optional<Enum> valueOf(const NamedValue<Enum> (&Table)[N],
                            absl::string_view Name) {
  for (const NamedValue<Enum> &Row : Table)
    if (Row.Name == Name)
      return Row.Value;
  return std::nullopt;
}

} // namespace quetzallead

#endif // QUETZALLEAD_NAMETABLE_H
