#ifndef QUETZALLEAD_CORE_RELAY_RECORDMERGE_H
#define QUETZALLEAD_CORE_RELAY_RECORDMERGE_H

#include "absl/strings/string_view.h"
#include <cstddef>
#include <string>
#include <vector>

namespace quetzallead {

/// Size of one record in the response of a survey's part.
inline constexpr std::size_t RecordBytes = 16;

/// Returns the \p Wanted greatest records of \p Parts in descending
/// lexicographic order of their bytes. A part is a concatenation of records in
/// any order; a trailing fragment shorter than a record is ignored. Duplicates
/// are kept.
std::string mergeGreatestRecords(const std::vector<absl::string_view> &Parts,
                                 std::size_t Wanted);

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_RECORDMERGE_H
