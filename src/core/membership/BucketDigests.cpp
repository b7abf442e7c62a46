#include "core/membership/BucketDigests.h"

#include <xxhash.h>

namespace quetzallead {

std::size_t BucketDigests::bucketOf(absl::string_view Name) {
  return XXH3_64bits(Name.data(), Name.size()) % GossipMessage::BucketCount;
}

} // namespace quetzallead
