#include "core/membership/Rendezvous.h"

#include <xxhash.h>

namespace quetzallead {

std::uint64_t rendezvousWeight(absl::string_view Duty,
                               absl::string_view Member) {
  const std::uint64_t Seed = XXH3_64bits(Duty.data(), Duty.size());
  return XXH3_64bits_withSeed(Member.data(), Member.size(), Seed);
}

} // namespace quetzallead
