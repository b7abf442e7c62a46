#ifndef QUETZALLEAD_CORE_MEMBERSHIP_BUCKETDIGESTS_H
#define QUETZALLEAD_CORE_MEMBERSHIP_BUCKETDIGESTS_H

#include "absl/strings/string_view.h"
#include "core/membership/GossipMessage.h"
#include <array>
#include <cstddef>
#include <cstdint>

namespace quetzallead {

/// Digests of sets of items, each item in the bucket of its name. Adding an
/// item's hash a second time removes it.
class BucketDigests {
public:
  static std::size_t bucketOf(absl::string_view Name);

  void toggle(std::size_t Bucket, std::uint64_t Hash) {
    Values[Bucket] ^= Hash;
    Total ^= Hash;
  }
  std::uint64_t of(std::size_t Bucket) const { return Values[Bucket]; }
  /// Digest over all buckets.
  std::uint64_t total() const { return Total; }

private:
  std::array<std::uint64_t, GossipMessage::BucketCount> Values = {};
  std::uint64_t Total = 0;
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_MEMBERSHIP_BUCKETDIGESTS_H
