#include "daemon/RequestIds.h"
#include "absl/strings/str_cat.h"

namespace quetzallead {

RequestIds::RequestIds(std::uint64_t RandomId)
    : Prefix(absl::StrCat(absl::Hex(RandomId, absl::kZeroPad16), "-")) {}

std::string RequestIds::next() {
  std::uint64_t Number = Counter.fetch_add(1, std::memory_order_relaxed);
  return absl::StrCat(Prefix, absl::Hex(Number));
}

} // namespace quetzallead
