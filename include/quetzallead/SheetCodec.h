#ifndef QUETZALLEAD_SHEETCODEC_H
#define QUETZALLEAD_SHEETCODEC_H

#include "absl/strings/string_view.h"
#include "quetzallead/Error.h"
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace quetzallead {

struct Sheet;

/// Reads a sheet from JSON, in which comments are allowed, and checks every
/// key. Fails with InvalidArgument; Where is the field at fault, such as
/// "services[3].shards[1].servers[0].slots", and the message names the line
/// and column if the text is not JSON.
Result<Sheet> parseSheet(absl::string_view Text);

/// As parseSheet(), from parsed JSON.
Result<Sheet> sheetFromJson(const nlohmann::json &Document);

/// The canonical JSON of \p S, every default written out.
nlohmann::json sheetToJson(const Sheet &S);

/// The canonical text: equal sheets have equal texts. Its parse is \p S.
std::string formatSheet(const Sheet &S);

/// SHA-256 of the canonical text, 64 hexadecimal digits.
std::string sheetDigest(const Sheet &S);

} // namespace quetzallead

#endif // QUETZALLEAD_SHEETCODEC_H
