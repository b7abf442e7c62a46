#ifndef QUETZALLEAD_CORE_BASE_JSONTEXT_H
#define QUETZALLEAD_CORE_BASE_JSONTEXT_H

#include "absl/strings/string_view.h"
#include "quetzallead/Error.h"
#include <cstddef>
#include <nlohmann/json_fwd.hpp>

namespace quetzallead {

/// Bounds on a JSON text from outside.
struct JsonLimits {
  std::size_t MaxBytes = std::size_t{1} << 20;
  /// Nesting of arrays and objects.
  std::size_t MaxDepth = 16;
  /// Objects, arrays and scalars together.
  std::size_t MaxValues = std::size_t{1} << 18;
};

/// Parses JSON in which C and C++ comments are allowed. Fails with
/// InvalidArgument if a limit is broken, a key stands twice in an object, or
/// the text is malformed; the message names the line and column.
Result<nlohmann::json> parseJsonText(absl::string_view Text,
                                     const JsonLimits &Limits = JsonLimits());

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_BASE_JSONTEXT_H
