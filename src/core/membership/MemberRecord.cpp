#include "core/membership/MemberRecord.h"

#include <algorithm>
#include <tuple>
#include <xxhash.h>

namespace quetzallead {
namespace {

auto healthOrder(const MemberRecord &R) {
  return std::make_tuple(R.Revision, R.Health);
}

auto placeOrder(const MemberRecord &R) { return std::tie(R.Address, R.Zone); }

} // namespace

MemberState MemberRecord::state() const {
  if (Health == MemberState::Dead)
    return MemberState::Dead;
  return Leaving ? MemberState::Leaving : Health;
}

MemberRecord merge(const MemberRecord &A, const MemberRecord &B) {
  if (A.Incarnation != B.Incarnation)
    return A.Incarnation > B.Incarnation ? A : B;
  MemberRecord Merged = A;
  if (placeOrder(B) > placeOrder(A)) {
    Merged.Address = B.Address;
    Merged.Zone = B.Zone;
  }
  if (healthOrder(B) > healthOrder(A)) {
    Merged.Revision = B.Revision;
    Merged.Health = B.Health;
  }
  Merged.Leaving = A.Leaving || B.Leaving;
  Merged.SheetRevision = std::max(A.SheetRevision, B.SheetRevision);
  return Merged;
}

std::uint64_t hashOf(const MemberRecord &Record) {
  const std::uint64_t Numbers[] = {Record.Incarnation, Record.Revision,
                                   static_cast<std::uint64_t>(Record.Health),
                                   static_cast<std::uint64_t>(Record.Leaving),
                                   Record.SheetRevision};
  const std::uint64_t Seed = XXH3_64bits(Numbers, sizeof(Numbers));
  return XXH3_64bits_withSeed(Record.Name.data(), Record.Name.size(), Seed);
}

} // namespace quetzallead
