#ifndef QUETZALLEAD_CORE_BASE_CBOR_H
#define QUETZALLEAD_CORE_BASE_CBOR_H

#include "absl/strings/string_view.h"
#include <cstddef>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace quetzallead {

/// Deepest nesting of arrays and maps that is accepted.
inline constexpr std::size_t MaxCborDepth = 16;

/// The value that \p Bytes encode; a discarded value if they are malformed, too
/// deep, or state a length that they do not have. Never throws: the library's
/// own parser does for stated lengths, and recurses without a limit.
nlohmann::json parseCbor(absl::string_view Bytes);

/// \p Value in CBOR.
std::string cborOf(const nlohmann::json &Value);

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_BASE_CBOR_H
