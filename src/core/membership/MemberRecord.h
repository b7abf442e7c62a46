#ifndef QUETZALLEAD_CORE_MEMBERSHIP_MEMBERRECORD_H
#define QUETZALLEAD_CORE_MEMBERSHIP_MEMBERRECORD_H

#include "core/membership/MemberState.h"
#include <cstddef>
#include <cstdint>
#include <string>

namespace quetzallead {

/// One instance as another one knows it; what gossip carries.
struct MemberRecord {
  std::string Name;
  /// "ip:port" of its peer listener.
  std::string Address;
  std::string Zone;
  /// Grows with every start of the instance; 0 if it is known from the instance
  /// list alone.
  std::uint64_t Incarnation = 0;
  /// Raised by the instance itself to contradict a suspicion.
  std::uint64_t Revision = 0;
  /// Alive, Suspect or Dead, of Revision.
  MemberState Health = MemberState::Alive;
  /// Set by the instance itself, for the rest of its incarnation.
  bool Leaving = false;
  /// Sheet revision in force there.
  std::uint64_t SheetRevision = 0;

  /// Longest name, address or zone, bytes.
  static constexpr std::size_t MaxTextBytes = 64;

  MemberState state() const;
  /// True if it answers for its incarnation, be it leaving or suspected.
  bool isPresent() const { return Health != MemberState::Dead; }
  /// True if it may be given work.
  bool isLive() const { return isPresent() && !Leaving; }

  friend bool operator==(const MemberRecord &A, const MemberRecord &B) {
    return A.Name == B.Name && A.Address == B.Address && A.Zone == B.Zone &&
           A.Incarnation == B.Incarnation && A.Revision == B.Revision &&
           A.Health == B.Health && A.Leaving == B.Leaving &&
           A.SheetRevision == B.SheetRevision;
  }
};

/// What follows from both records of one instance. Does not depend on the order
/// in which records are merged, nor on how often.
MemberRecord merge(const MemberRecord &A, const MemberRecord &B);

/// A hash of all that gossip has to make equal.
std::uint64_t hashOf(const MemberRecord &Record);

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_MEMBERSHIP_MEMBERRECORD_H
