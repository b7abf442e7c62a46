#ifndef QUETZALLEAD_CORE_BASE_NEARESTNAME_H
#define QUETZALLEAD_CORE_BASE_NEARESTNAME_H

#include "absl/strings/string_view.h"
#include <string>
#include <vector>

namespace quetzallead {

/// The candidate with the least edit distance to \p Name; empty if none is
/// near enough to be a likely misspelling.
std::string nearestName(absl::string_view Name,
                        const std::vector<std::string> &Candidates);

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_BASE_NEARESTNAME_H
