#include "core/membership/ServerNotice.h"

#include <tuple>
#include <xxhash.h>

namespace quetzallead {

bool supersedes(const ServerNotice &A, const ServerNotice &B) {
  return std::tie(A.Revision, A.State) > std::tie(B.Revision, B.State);
}

std::uint64_t hashOf(const ServerNotice &Notice) {
  const std::uint64_t Numbers[] = {Notice.Revision,
                                   static_cast<std::uint64_t>(Notice.State)};
  const std::uint64_t Seed = XXH3_64bits(Numbers, sizeof(Numbers));
  return XXH3_64bits_withSeed(Notice.Server.data(), Notice.Server.size(), Seed);
}

} // namespace quetzallead
