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

/// True if no more than \p MaxDepth arrays and objects are nested in \p Text,
/// which need not be well-formed. Much cheaper than a parse; for texts that are
/// parsed without parseJsonText(), since writing deep values recurses.
bool nestsWithin(absl::string_view Text, std::size_t MaxDepth);

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_BASE_JSONTEXT_H
