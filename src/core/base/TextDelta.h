#ifndef QUETZALLEAD_CORE_BASE_TEXTDELTA_H
#define QUETZALLEAD_CORE_BASE_TEXTDELTA_H

#include "absl/strings/string_view.h"
#include <cstddef>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

namespace quetzallead {

/// Describes \p New by pieces of \p Old and by text that is not in it. A piece
/// ends with a closing brace, so that an object of a JSON text that did not
/// change is in one.
nlohmann::json textDelta(absl::string_view Old, absl::string_view New);

/// Returns the text that \p Delta describes; nothing if it is malformed, does
/// not fit to \p Old, or describes more than \p MaxBytes.
std::optional<std::string> applyTextDelta(absl::string_view Old,
                                          const nlohmann::json &Delta,
                                          std::size_t MaxBytes);

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_BASE_TEXTDELTA_H
