#include "core/membership/DepartureNotice.h"

#include <xxhash.h>

namespace quetzallead {

std::uint64_t hashOf(const DepartureNotice &Notice) {
  return XXH3_64bits_withSeed(Notice.Instance.data(), Notice.Instance.size(),
                              Notice.Incarnation);
}

} // namespace quetzallead
