#include "core/relay/RecordMerge.h"
#include <algorithm>
#include <functional>

namespace quetzallead {

std::string mergeGreatestRecords(const std::vector<absl::string_view> &Parts,
                                 std::size_t Wanted) {
  std::vector<absl::string_view> Records;
  for (absl::string_view Part : Parts)
    for (; Part.size() >= RecordBytes; Part.remove_prefix(RecordBytes))
      Records.push_back(Part.substr(0, RecordBytes));
  const std::size_t Count = std::min(Wanted, Records.size());
  // string_view compares bytes as unsigned.
  std::partial_sort(Records.begin(),
                    Records.begin() + static_cast<std::ptrdiff_t>(Count),
                    Records.end(), std::greater<>());
  std::string Merged;
  Merged.reserve(Count * RecordBytes);
  for (std::size_t I = 0; I < Count; ++I)
    Merged.append(Records[I].data(), RecordBytes);
  return Merged;
}

} // namespace quetzallead
