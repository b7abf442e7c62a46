#include "core/membership/MemberRecord.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace quetzallead {
namespace {

MemberRecord anyRecord() {
  const MemberState Healths[] = {MemberState::Alive, MemberState::Suspect,
                                 MemberState::Dead};
  MemberRecord R;
  R.Name = "i";
  R.Address = *rc::gen::element<std::string>("a", "b");
  R.Zone = *rc::gen::element<std::string>("y", "z");
  R.Incarnation = *rc::gen::inRange(1, 3);
  R.Revision = *rc::gen::inRange(0, 3);
  R.Health = Healths[*rc::gen::inRange(0, 3)];
  R.Leaving = *rc::gen::arbitrary<bool>();
  R.SheetRevision = *rc::gen::inRange(0, 3);
  return R;
}

RC_GTEST_PROP(MemberRecordProperty, MergeKnowsNoOrder, ()) {
  const MemberRecord A = anyRecord();
  const MemberRecord B = anyRecord();
  const MemberRecord C = anyRecord();
  RC_PRE(A.Incarnation != B.Incarnation || A.Zone == B.Zone);
  RC_ASSERT(merge(A, A) == A);
  RC_ASSERT(merge(A, B) == merge(B, A));
  RC_ASSERT(merge(merge(A, B), C) == merge(A, merge(B, C)));
}

TEST(MemberRecordTest, ContradictionAndLeaving) {
  MemberRecord Alive;
  Alive.Incarnation = 1;
  MemberRecord Suspect = Alive;
  Suspect.Health = MemberState::Suspect;
  MemberRecord Contradicted = Alive;
  Contradicted.Revision = 1;
  Contradicted.Leaving = true;
  EXPECT_EQ(merge(Alive, Suspect).state(), MemberState::Suspect);
  EXPECT_EQ(merge(Contradicted, Suspect).state(), MemberState::Leaving);
  MemberRecord Restarted;
  Restarted.Incarnation = 2;
  EXPECT_EQ(merge(Contradicted, Restarted).state(), MemberState::Alive);
}

} // namespace
} // namespace quetzallead
