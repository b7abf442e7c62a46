#ifndef QUETZALLEAD_CORE_BASE_DIGEST_H
#define QUETZALLEAD_CORE_BASE_DIGEST_H

#include "absl/strings/string_view.h"
#include <string>

namespace quetzallead {

/// SHA-256 of \p Bytes as 64 lower-case hexadecimal digits.
std::string sha256Hex(absl::string_view Bytes);

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_BASE_DIGEST_H
