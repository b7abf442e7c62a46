#ifndef QUETZALLEAD_SNAPSHOT_H
#define QUETZALLEAD_SNAPSHOT_H

#include <cstdint>

namespace quetzallead {

/// The state of a service's data that an answer is taken from. All parts of
/// one answer carry the same snapshot.
struct Snapshot {
  /// Partition epoch: which division of the keys into shards is in use.
  std::uint64_t Epoch = 0;
  /// Index version; grows with every publication and across epochs.
  std::uint64_t Version = 0;

  friend bool operator==(const Snapshot &A, const Snapshot &B) {
    return A.Epoch == B.Epoch && A.Version == B.Version;
  }
  friend bool operator!=(const Snapshot &A, const Snapshot &B) {
    return !(A == B);
  }
};

} // namespace quetzallead

#endif // QUETZALLEAD_SNAPSHOT_H
