#ifndef QUETZALLEAD_CORE_RELAY_RECORDMERGE_H
#define QUETZALLEAD_CORE_RELAY_RECORDMERGE_H

#include "absl/strings/string_view.h"
#include <cstddef>
#include <string>
#include <vector>

namespace quetzallead {

/// Bytes of one record of a survey's part.
inline constexpr std::size_t RecordBytes = 16;

/// The greatest \p Wanted records of \p Parts, falling, compared byte by byte.
/// A part is records one after the other in any order; a rest shorter than a
/// record is ignored. Equal records all count.
std::string mergeGreatestRecords(const std::vector<absl::string_view> &Parts,
                                 std::size_t Wanted);

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_RECORDMERGE_H
