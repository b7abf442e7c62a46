#include "core/relay/RelayRequest.h"
#include "relay/RelayWorld.h"
#include <gtest/gtest.h>

using namespace quetzallead;

TEST(RelayRequestTest, RelaysTheAnswerOfOneServer) {
  RelayWorld W(1);
  W.begin();
  ASSERT_EQ(W.Sent.size(), 1u);
  W.end(0, AttemptResult::Answered, 404);
  ASSERT_TRUE(W.answered());
  EXPECT_EQ(W.Verdict->Outcome, RelayOutcome::Relayed);
  EXPECT_EQ(W.Verdict->Answers[0]->Status, 404u);
}

TEST(RelayRequestTest, HedgesAtAnotherServerWhenTheFirstIsSilent) {
  RelayWorld W(1);
  W.begin();
  W.wait(absl::Milliseconds(60));
  ASSERT_EQ(W.Sent.size(), 2u);
  EXPECT_NE(W.Sent[0], W.Sent[1]);
  W.end(1, AttemptResult::Answered);
  ASSERT_TRUE(W.answered());
  EXPECT_EQ(W.Verdict->Answers[0]->Stamp, "stamp1");
  EXPECT_TRUE(W.Cancelled.empty());
}

TEST(RelayRequestTest, TellsWhyAnAttemptWasSentAndWhyAHedgeWasNot) {
  RelayWorld W(1, 1);
  W.begin();
  W.wait(absl::Milliseconds(60));
  EXPECT_EQ(W.Request->partsWithheld(HedgeObstacle::NoServer), 1u);
  EXPECT_EQ(W.Request->describeMissing(), "s0(s0-0@0,no_server)");
  RelayWorld Hedged(1);
  Hedged.begin();
  Hedged.wait(absl::Milliseconds(60));
  EXPECT_EQ(Hedged.Request->causeOf(0), AttemptCause::First);
  EXPECT_EQ(Hedged.Request->causeOf(1), AttemptCause::Hedge);
  EXPECT_EQ(Hedged.Request->partsWithheld(HedgeObstacle::None), 1u);
  Hedged.end(0, AttemptResult::Answered);
  EXPECT_EQ(Hedged.Request->describeMissing(), "");
  EXPECT_NE(Hedged.Request->describeParts(), "");
}

TEST(RelayRequestTest, ARepeatOfWhatWasNeverSentIsTheFirstAttempt) {
  for (AttemptResult Result : {AttemptResult::NotSent, AttemptResult::Lost}) {
    RelayWorld W(1);
    W.begin();
    W.end(0, Result);
    W.wait(absl::Milliseconds(5));
    ASSERT_EQ(W.Sent.size(), 2u);
    EXPECT_EQ(W.Request->causeOf(1), Result == AttemptResult::NotSent
                                         ? AttemptCause::First
                                         : AttemptCause::Retry);
  }
}

TEST(RelayRequestTest, SendsToNoMoreServersThanTheRouteAllows) {
  RelayWorld W(1, 5);
  W.begin();
  W.wait(absl::Milliseconds(900));
  EXPECT_EQ(W.Sent.size(), 2u);
}

TEST(RelayRequestTest, NeverRepeatsWhatMayHaveRunOnce) {
  for (AttemptResult Result :
       {AttemptResult::Lost, AttemptResult::TimedOut, AttemptResult::BadReply,
        AttemptResult::Cancelled}) {
    RelayWorld W(1);
    W.Taken.Kind = RequestKind::AtMostOnce;
    W.begin();
    W.wait(absl::Milliseconds(500));
    ASSERT_EQ(W.Sent.size(), 1u);
    W.end(0, Result);
    ASSERT_TRUE(W.answered());
    EXPECT_EQ(W.Verdict->Outcome, RelayOutcome::Failed);
    EXPECT_EQ(W.Sent.size(), 1u);
  }
}

TEST(RelayRequestTest, RepeatsAtMostOnceRequestsThatDidNotRun) {
  RelayWorld W(1);
  W.Taken.Kind = RequestKind::AtMostOnce;
  W.begin();
  W.end(0, AttemptResult::Shed);
  EXPECT_FALSE(W.answered());
  W.wait(absl::Milliseconds(20));
  ASSERT_EQ(W.Sent.size(), 2u);
  W.end(1, AttemptResult::Shed);
  ASSERT_TRUE(W.answered());
  EXPECT_EQ(W.Verdict->Outcome, RelayOutcome::Refused);
  EXPECT_GT(W.Verdict->RetryAfter, absl::ZeroDuration());
}

TEST(RelayRequestTest, SaysRefusedOnlyIfNoAttemptMayHaveRun) {
  RelayWorld W(1);
  W.begin();
  W.end(0, AttemptResult::Lost);
  W.wait(absl::Milliseconds(20));
  ASSERT_EQ(W.Sent.size(), 2u);
  W.end(1, AttemptResult::Shed);
  ASSERT_TRUE(W.answered());
  EXPECT_EQ(W.Verdict->Outcome, RelayOutcome::Failed);
}

TEST(RelayRequestTest, SurveyAnswersWithAllPartsAtOnce) {
  RelayWorld W(4);
  W.begin();
  ASSERT_EQ(W.Sent.size(), 4u);
  for (std::size_t Part = 0; Part < 4; ++Part)
    W.end(Part, AttemptResult::Answered);
  ASSERT_TRUE(W.answered());
  EXPECT_EQ(W.Verdict->Outcome, RelayOutcome::Merged);
  EXPECT_EQ(W.Verdict->Answers.size(), 4u);
  EXPECT_EQ(W.Verdict->Missing, 0u);
}

TEST(RelayRequestTest, SurveyAnswersAtTheObjectiveWithWhatIsEnough) {
  RelayWorld W(4);
  W.begin();
  for (std::size_t Part = 0; Part < 3; ++Part)
    W.end(Part, AttemptResult::Answered);
  EXPECT_FALSE(W.answered());
  const TimePoint Began = W.Now;
  W.wait(absl::Milliseconds(200));
  ASSERT_TRUE(W.answered());
  EXPECT_EQ(W.Verdict->Missing, 1u);
  EXPECT_LE(W.Request->plan().AnswerBy, Began + W.Taken.Objective);
}

TEST(RelayRequestTest, SurveyBelowItsLeastCoverageWaitsForMore) {
  RelayWorld W(4);
  W.begin();
  for (std::size_t Part = 0; Part < 2; ++Part)
    W.end(Part, AttemptResult::Answered);
  W.wait(absl::Milliseconds(200));
  EXPECT_FALSE(W.answered());
  W.end(2, AttemptResult::Answered);
  ASSERT_TRUE(W.answered());
  EXPECT_EQ(W.Verdict->Missing, 1u);
}

TEST(RelayRequestTest, SurveyThatCannotReachItsCoverageEndsAtOnce) {
  RelayWorld W(4, 1);
  W.begin();
  for (std::size_t Part = 0; Part < 2; ++Part) {
    W.end(Part, AttemptResult::Draining);
    W.wait(absl::Milliseconds(1));
  }
  ASSERT_TRUE(W.answered());
  EXPECT_EQ(W.Verdict->Outcome, RelayOutcome::Failed);
}

TEST(RelayRequestTest, SurveyWithTooFewShardsIsRefusedUnsent) {
  RelayWorld W(4, 1);
  W.State->apply(
      {FeedChange{"s0-0", std::nullopt}, FeedChange{"s1-0", std::nullopt}},
      W.Now);
  W.begin();
  ASSERT_TRUE(W.answered());
  EXPECT_EQ(W.Verdict->Outcome, RelayOutcome::Unservable);
  EXPECT_TRUE(W.Sent.empty());
}

TEST(RelayRequestTest, AFailureOfAServerIsNoPart) {
  RelayWorld W(4);
  W.begin();
  W.end(0, AttemptResult::Answered, 500);
  for (std::size_t Part = 1; Part < 4; ++Part)
    W.end(Part, AttemptResult::Answered);
  EXPECT_FALSE(W.answered());
  W.wait(absl::Milliseconds(15));
  ASSERT_EQ(W.Sent.size(), 5u);
  EXPECT_EQ(W.Sent[4].substr(0, 2), "s0");
  W.end(4, AttemptResult::Answered);
  ASSERT_TRUE(W.answered());
  EXPECT_EQ(W.Verdict->Missing, 0u);
}

TEST(RelayRequestTest, CallerThatLeavesCancelsWhatMayBeRepeated) {
  RelayWorld W(2);
  W.begin();
  RelayActions Out;
  W.Request->onCallerLeft(W.Now, Out);
  EXPECT_EQ(Out.size(), 3u);
  EXPECT_TRUE(W.Request->answered());
  EXPECT_EQ(W.Request->nextTimer(), absl::InfiniteFuture());
}

TEST(RelayRequestTest, ServerWithAnOverdueRequestGetsNothingMore) {
  RelayWorld W(1);
  W.begin();
  const std::string Silent = W.Sent[0];
  W.wait(absl::Milliseconds(60));
  auto First = std::move(W.Request);
  for (int Round = 0; Round < 20; ++Round) {
    W.begin();
    EXPECT_NE(W.Sent.back(), Silent);
    const std::size_t Asked = W.Sent.size();
    W.end(0, AttemptResult::Answered);
    EXPECT_EQ(W.Sent.size(), Asked);
  }
}

// A shard whose servers all refuse connections: each request tried them in
// turn without end, over a hundred connections a request.
TEST(RelayRequestTest, ServersThatCannotBeReachedAreTriedOnceEach) {
  RelayWorld W(10);
  W.Taken.LeastCoverage = 0.9;
  W.begin();
  for (std::size_t Part = 1; Part < 10; ++Part)
    W.end(Part, AttemptResult::Answered);
  for (std::size_t Attempt :
       {std::size_t{0}, std::size_t{10}, std::size_t{11}}) {
    ASSERT_LT(Attempt, W.Sent.size());
    W.serverOf(Attempt)->Unreachable = true;
    W.end(Attempt, AttemptResult::NotSent);
    W.wait(absl::Milliseconds(1));
  }
  ASSERT_TRUE(W.answered());
  EXPECT_EQ(W.Verdict->Missing, 1u);
  EXPECT_EQ(W.Sent.size(), 12u);
}

TEST(RelayRequestTest, SurveyWithTooFewShardsInReachIsRefusedUnsent) {
  RelayWorld W(4, 1);
  W.begin();
  for (std::size_t Part = 0; Part < 2; ++Part) {
    W.serverOf(Part)->Unreachable = true;
    W.end(Part, AttemptResult::NotSent);
  }
  W.Sent.clear();
  W.begin();
  ASSERT_TRUE(W.answered());
  EXPECT_EQ(W.Verdict->Outcome, RelayOutcome::Unservable);
  EXPECT_GT(W.Verdict->RetryAfter, absl::ZeroDuration());
  EXPECT_TRUE(W.Sent.empty());
}

// The first answer of the only server took half a second; the next request
// was refused for fear of the same.
TEST(RelayRequestTest, OneSlowAnswerRefusesNobody) {
  RelayWorld W(1, 1);
  W.begin();
  W.wait(absl::Milliseconds(500));
  W.end(0, AttemptResult::Answered);
  W.Verdict.reset();
  W.begin();
  EXPECT_FALSE(W.answered());
  EXPECT_EQ(W.Sent.size(), 2u);
}
