#ifndef QUETZALLEAD_CLI_TEXTTABLE_H
#define QUETZALLEAD_CLI_TEXTTABLE_H

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace quetzallead {

/// \p Answer for people: a line for each plain member of an object, and a
/// table with aligned columns for each list of objects. Control characters
/// are escaped.
std::string renderText(const nlohmann::ordered_json &Answer);

} // namespace quetzallead

#endif // QUETZALLEAD_CLI_TEXTTABLE_H
