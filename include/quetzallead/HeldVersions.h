#ifndef QUETZALLEAD_HELDVERSIONS_H
#define QUETZALLEAD_HELDVERSIONS_H

#include <cstdint>

namespace quetzallead {

/// The index versions that a replica is known to hold.
struct HeldVersions {
  std::uint64_t Epoch = 0;
  std::uint64_t Oldest = 0;
  /// 0 if nothing is known.
  std::uint64_t Newest = 0;

  bool known() const { return Newest != 0; }
  /// True unless the replica is known not to hold \p Version.
  bool mayHold(std::uint64_t Version) const {
    return !known() || Version == 0 || (Oldest <= Version && Version <= Newest);
  }
  /// True if the replica lags and may come to hold \p Version later.
  bool mayReach(std::uint64_t Version) const {
    return known() && Newest < Version;
  }
};

} // namespace quetzallead

#endif // QUETZALLEAD_HELDVERSIONS_H
