#ifndef QUETZALLEAD_CORE_MEMBERSHIP_MEMBERTABLE_H
#define QUETZALLEAD_CORE_MEMBERSHIP_MEMBERTABLE_H

#include "absl/container/btree_map.h"
#include "absl/strings/string_view.h"
#include "core/membership/BucketDigests.h"
#include "core/membership/MemberRecord.h"
#include "quetzallead/Time.h"
#include <cstddef>
#include <string>
#include <vector>

namespace quetzallead {

/// How much a change of a record matters to others.
enum class MemberChange {
  None,
  Minor, ///< Only the sheet revision.
  Major,
};

/// What is known of every instance, and digests of it. Records whose
/// incarnation is 0 come from the instance list; they and dead ones are left
/// out of the digests.
class MemberTable {
public:
  struct Entry {
    MemberRecord Record;
    std::size_t Bucket = 0;
    /// Since when it is Suspect or Dead.
    TimePoint Since;
    /// True if the instance list has it.
    bool Listed = false;
  };
  using Entries = absl::btree_map<std::string, Entry>;

  /// Most instances that are kept track of.
  static constexpr std::size_t MaxMembers = 2000;

  const Entries &entries() const { return Table; }
  /// Null if unknown.
  const Entry *find(absl::string_view Name) const;
  const BucketDigests &digests() const { return Digests; }

  /// Takes in what another instance says. Its word for a death is taken as a
  /// suspicion: each instance waits for the contradiction itself.
  MemberChange apply(const MemberRecord &Said, TimePoint Now);
  /// Sets the record of an instance without merging.
  void put(const MemberRecord &Record, TimePoint Now);
  void setListed(absl::string_view Name, bool Listed);
  void erase(absl::string_view Name);

private:
  void store(Entry &E, const MemberRecord &Record, TimePoint Now);
  static bool countsInDigest(const MemberRecord &Record);

  Entries Table;
  BucketDigests Digests;
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_MEMBERSHIP_MEMBERTABLE_H
