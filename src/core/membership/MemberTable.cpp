#include "core/membership/MemberTable.h"

namespace quetzallead {
namespace {

bool differOnlyInSheet(MemberRecord A, const MemberRecord &B) {
  A.SheetRevision = B.SheetRevision;
  return A == B;
}

/// What to believe if another one says \p Said and we hold \p Held.
MemberRecord withoutForeignDeath(MemberRecord Said, const MemberRecord &Held) {
  const bool AgreedDead =
      Held.Incarnation == Said.Incarnation && Held.Health == MemberState::Dead;
  if (Said.Health == MemberState::Dead && !AgreedDead)
    Said.Health = MemberState::Suspect;
  return Said;
}

} // namespace

const MemberTable::Entry *MemberTable::find(absl::string_view Name) const {
  const auto It = Table.find(Name);
  return It == Table.end() ? nullptr : &It->second;
}

MemberChange MemberTable::apply(const MemberRecord &Said, TimePoint Now) {
  const auto It = Table.find(Said.Name);
  if (It == Table.end()) {
    if (Said.Health == MemberState::Dead || Table.size() >= MaxMembers)
      return MemberChange::None;
    put(Said, Now);
    return MemberChange::Major;
  }
  const MemberRecord Held = It->second.Record;
  const MemberRecord Merged = merge(Held, withoutForeignDeath(Said, Held));
  if (Merged == Held)
    return MemberChange::None;
  store(It->second, Merged, Now);
  return differOnlyInSheet(Held, Merged) ? MemberChange::Minor
                                         : MemberChange::Major;
}

void MemberTable::put(const MemberRecord &Record, TimePoint Now) {
  const auto [It, Added] = Table.try_emplace(Record.Name);
  if (Added)
    It->second.Bucket = BucketDigests::bucketOf(Record.Name);
  store(It->second, Record, Now);
}

void MemberTable::store(Entry &E, const MemberRecord &Record, TimePoint Now) {
  if (countsInDigest(E.Record))
    Digests.toggle(E.Bucket, hashOf(E.Record));
  const bool SameHealth = E.Record.Health == Record.Health &&
                          E.Record.Incarnation == Record.Incarnation;
  if (!SameHealth)
    E.Since = Now;
  E.Record = Record;
  if (countsInDigest(E.Record))
    Digests.toggle(E.Bucket, hashOf(E.Record));
}

void MemberTable::setListed(absl::string_view Name, bool Listed) {
  const auto It = Table.find(Name);
  if (It != Table.end())
    It->second.Listed = Listed;
}

void MemberTable::erase(absl::string_view Name) {
  const auto It = Table.find(Name);
  if (It == Table.end())
    return;
  if (countsInDigest(It->second.Record))
    Digests.toggle(It->second.Bucket, hashOf(It->second.Record));
  Table.erase(It);
}

bool MemberTable::countsInDigest(const MemberRecord &Record) {
  return Record.Incarnation != 0 && Record.isPresent();
}

} // namespace quetzallead
