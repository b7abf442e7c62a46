#include "core/relay/HandOver.h"
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace quetzallead;

namespace {

HandOverQuestion anyQuestion() {
  HandOverQuestion Question;
  Question.ServersLost = *rc::gen::arbitrary<bool>();
  Question.OutOfReach = *rc::gen::arbitrary<bool>();
  Question.FromInstance = *rc::gen::arbitrary<bool>();
  Question.HandedOver = *rc::gen::arbitrary<bool>();
  Question.HomeAvailable = *rc::gen::arbitrary<bool>();
  Question.KnownUnservable = *rc::gen::arbitrary<bool>();
  Question.Begun = *rc::gen::arbitrary<bool>();
  Question.MayBeRepeated = *rc::gen::arbitrary<bool>();
  return Question;
}

} // namespace

RC_GTEST_PROP(HandOverTest, RequestMovesOnceAndNeverOn, ()) {
  const HandOverQuestion Question = anyQuestion();
  if (chooseHandOver(Question) == HandOver::ToHome) {
    RC_ASSERT(!Question.FromInstance);
    RC_ASSERT(!Question.HandedOver);
  }
}

RC_GTEST_PROP(HandOverTest, OnlyWhatMayBeRepeatedRunsElsewhere, ()) {
  HandOverQuestion Question = anyQuestion();
  Question.MayBeRepeated = false;
  Question.Begun = true;
  RC_ASSERT(chooseHandOver(Question) == HandOver::None);
}

RC_GTEST_PROP(HandOverTest, PassedBackMeansNotBegun, ()) {
  const HandOverQuestion Question = anyQuestion();
  if (chooseHandOver(Question) == HandOver::PassBack)
    RC_ASSERT(!Question.Begun);
}

RC_GTEST_PROP(HandOverTest, InstanceWithServersKeepsItsRequests, ()) {
  HandOverQuestion Question = anyQuestion();
  Question.ServersLost = false;
  Question.OutOfReach = false;
  RC_ASSERT(chooseHandOver(Question) == HandOver::None);
}

// Servers that are down for everybody must not make instances ask each other.
TEST(HandOverTest, RouteThatNobodyCouldServeIsNotOffered) {
  HandOverQuestion Question;
  Question.OutOfReach = true;
  Question.HomeAvailable = true;
  EXPECT_EQ(chooseHandOver(Question), HandOver::ToHome);
  Question.KnownUnservable = true;
  EXPECT_EQ(chooseHandOver(Question), HandOver::None);
  Question = HandOverQuestion();
  Question.OutOfReach = true;
  Question.FromInstance = true;
  EXPECT_EQ(chooseHandOver(Question), HandOver::PassBack);
  Question.HandedOver = true;
  EXPECT_EQ(chooseHandOver(Question), HandOver::None);
}
