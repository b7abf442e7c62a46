#include "core/relay/RelayRequest.h"
#include "relay/RelayRequestHarness.h"
#include <gtest/gtest.h>

using namespace quetzallead;

TEST(RelayRequestTest, RelaysTheResponseOfASingleServer) {
  RelayRequestHarness W(1);
  W.startRequest();
  ASSERT_EQ(W.SentServers.size(), 1u);
  W.endAttempt(0, AttemptResult::Answered, 404);
  ASSERT_TRUE(W.answered());
  EXPECT_EQ(W.Verdict->Outcome, RelayOutcome::Relayed);
  EXPECT_EQ(W.Verdict->Responses[0]->Status, 404u);
}

TEST(RelayRequestTest, HedgesAtAnotherServerWhenTheFirstIsUnresponsive) {
  RelayRequestHarness W(1);
  W.startRequest();
  W.advance(absl::Milliseconds(60));
  ASSERT_EQ(W.SentServers.size(), 2u);
  EXPECT_NE(W.SentServers[0], W.SentServers[1]);
  W.endAttempt(1, AttemptResult::Answered);
  ASSERT_TRUE(W.answered());
  EXPECT_EQ(W.Verdict->Responses[0]->Stamp, "stamp1");
  EXPECT_TRUE(W.Cancelled.empty());
}

TEST(RelayRequestTest, ReportsAttemptCausesAndWithheldHedges) {
  RelayRequestHarness W(1, 1);
  W.startRequest();
  W.advance(absl::Milliseconds(60));
  EXPECT_EQ(W.Request->hedgesWithheld(HedgeWithheldReason::NoServer), 1u);
  EXPECT_EQ(W.Request->describeMissing(), "s0(s0-0@0,no_server)");
  RelayRequestHarness Hedged(1);
  Hedged.startRequest();
  Hedged.advance(absl::Milliseconds(60));
  EXPECT_EQ(Hedged.Request->causeOf(0), AttemptCause::First);
  EXPECT_EQ(Hedged.Request->causeOf(1), AttemptCause::Hedge);
  EXPECT_EQ(Hedged.Request->hedgesWithheld(HedgeWithheldReason::None), 1u);
  Hedged.endAttempt(0, AttemptResult::Answered);
  EXPECT_EQ(Hedged.Request->describeMissing(), "");
  EXPECT_NE(Hedged.Request->describeParts(), "");
}

TEST(RelayRequestTest, RepeatOfAnUnsentAttemptCountsAsFirst) {
  for (AttemptResult Result : {AttemptResult::NotSent, AttemptResult::Lost}) {
    RelayRequestHarness W(1);
    W.startRequest();
    W.endAttempt(0, Result);
    W.advance(absl::Milliseconds(5));
    ASSERT_EQ(W.SentServers.size(), 2u);
    EXPECT_EQ(W.Request->causeOf(1), Result == AttemptResult::NotSent
                                         ? AttemptCause::First
                                         : AttemptCause::Retry);
  }
}

TEST(RelayRequestTest, SendsAtMostMaxAttempts) {
  RelayRequestHarness W(1, 5);
  W.startRequest();
  W.advance(absl::Milliseconds(900));
  EXPECT_EQ(W.SentServers.size(), 2u);
}

TEST(RelayRequestTest, DoesNotRetryAtMostOnceRequestThatMayHaveExecuted) {
  for (AttemptResult Result :
       {AttemptResult::Lost, AttemptResult::TimedOut, AttemptResult::BadReply,
        AttemptResult::Cancelled}) {
    RelayRequestHarness W(1);
    W.RequestRoute.Kind = RequestKind::AtMostOnce;
    W.startRequest();
    W.advance(absl::Milliseconds(500));
    ASSERT_EQ(W.SentServers.size(), 1u);
    W.endAttempt(0, Result);
    ASSERT_TRUE(W.answered());
    EXPECT_EQ(W.Verdict->Outcome, RelayOutcome::Failed);
    EXPECT_EQ(W.SentServers.size(), 1u);
  }
}

TEST(RelayRequestTest, RetriesAtMostOnceRequestThatWasNotExecuted) {
  RelayRequestHarness W(1);
  W.RequestRoute.Kind = RequestKind::AtMostOnce;
  W.startRequest();
  W.endAttempt(0, AttemptResult::Shed);
  EXPECT_FALSE(W.answered());
  W.advance(absl::Milliseconds(20));
  ASSERT_EQ(W.SentServers.size(), 2u);
  W.endAttempt(1, AttemptResult::Shed);
  ASSERT_TRUE(W.answered());
  EXPECT_EQ(W.Verdict->Outcome, RelayOutcome::Rejected);
  EXPECT_GT(W.Verdict->RetryAfter, absl::ZeroDuration());
}

TEST(RelayRequestTest, RejectsOnlyIfNoAttemptMayHaveExecuted) {
  RelayRequestHarness W(1);
  W.startRequest();
  W.endAttempt(0, AttemptResult::Lost);
  W.advance(absl::Milliseconds(20));
  ASSERT_EQ(W.SentServers.size(), 2u);
  W.endAttempt(1, AttemptResult::Shed);
  ASSERT_TRUE(W.answered());
  EXPECT_EQ(W.Verdict->Outcome, RelayOutcome::Failed);
}

TEST(RelayRequestTest, SurveyRespondsAsSoonAsAllPartsHaveArrived) {
  RelayRequestHarness W(4);
  W.startRequest();
  ASSERT_EQ(W.SentServers.size(), 4u);
  for (std::size_t Part = 0; Part < 4; ++Part)
    W.endAttempt(Part, AttemptResult::Answered);
  ASSERT_TRUE(W.answered());
  EXPECT_EQ(W.Verdict->Outcome, RelayOutcome::Merged);
  EXPECT_EQ(W.Verdict->Responses.size(), 4u);
  EXPECT_EQ(W.Verdict->MissingParts, 0u);
}

TEST(RelayRequestTest, SurveyRespondsAtTheObjectiveWithSufficientCoverage) {
  RelayRequestHarness W(4);
  W.startRequest();
  for (std::size_t Part = 0; Part < 3; ++Part)
    W.endAttempt(Part, AttemptResult::Answered);
  EXPECT_FALSE(W.answered());
  const TimePoint Start = W.Now;
  W.advance(absl::Milliseconds(200));
  ASSERT_TRUE(W.answered());
  EXPECT_EQ(W.Verdict->MissingParts, 1u);
  EXPECT_LE(W.Request->plan().ObjectiveDeadline,
            Start + W.RequestRoute.Objective);
}

TEST(RelayRequestTest, SurveyBelowLeastCoverageWaitsPastTheObjective) {
  RelayRequestHarness W(4);
  W.startRequest();
  for (std::size_t Part = 0; Part < 2; ++Part)
    W.endAttempt(Part, AttemptResult::Answered);
  W.advance(absl::Milliseconds(200));
  EXPECT_FALSE(W.answered());
  W.endAttempt(2, AttemptResult::Answered);
  ASSERT_TRUE(W.answered());
  EXPECT_EQ(W.Verdict->MissingParts, 1u);
}

TEST(RelayRequestTest, SurveyFailsAtOnceWhenCoverageIsUnreachable) {
  RelayRequestHarness W(4, 1);
  W.startRequest();
  for (std::size_t Part = 0; Part < 2; ++Part) {
    W.endAttempt(Part, AttemptResult::Draining);
    W.advance(absl::Milliseconds(1));
  }
  ASSERT_TRUE(W.answered());
  EXPECT_EQ(W.Verdict->Outcome, RelayOutcome::Failed);
}

TEST(RelayRequestTest, SurveyWithTooFewShardsIsRejectedUnsent) {
  RelayRequestHarness W(4, 1);
  W.State->applyFeedChanges(
      {FeedChange{"s0-0", std::nullopt}, FeedChange{"s1-0", std::nullopt}},
      W.Now);
  W.startRequest();
  ASSERT_TRUE(W.answered());
  EXPECT_EQ(W.Verdict->Outcome, RelayOutcome::Unservable);
  EXPECT_TRUE(W.SentServers.empty());
}

TEST(RelayRequestTest, SurveyRetriesAPartAfterAServerError) {
  RelayRequestHarness W(4);
  W.startRequest();
  W.endAttempt(0, AttemptResult::Answered, 500);
  for (std::size_t Part = 1; Part < 4; ++Part)
    W.endAttempt(Part, AttemptResult::Answered);
  EXPECT_FALSE(W.answered());
  W.advance(absl::Milliseconds(15));
  ASSERT_EQ(W.SentServers.size(), 5u);
  EXPECT_EQ(W.SentServers[4].substr(0, 2), "s0");
  W.endAttempt(4, AttemptResult::Answered);
  ASSERT_TRUE(W.answered());
  EXPECT_EQ(W.Verdict->MissingParts, 0u);
}

TEST(RelayRequestTest, CallerDisconnectCancelsIdempotentAttempts) {
  RelayRequestHarness W(2);
  W.startRequest();
  RelayActions Out;
  W.Request->onCallerDisconnected(W.Now, Out);
  EXPECT_EQ(Out.size(), 3u);
  EXPECT_TRUE(W.Request->answered());
  EXPECT_EQ(W.Request->nextTimer(), absl::InfiniteFuture());
}

TEST(RelayRequestTest, ServerWithAnOverdueAttemptGetsNoFurtherAttempts) {
  RelayRequestHarness W(1);
  W.startRequest();
  const std::string Unresponsive = W.SentServers[0];
  W.advance(absl::Milliseconds(60));
  auto First = std::move(W.Request);
  for (int Round = 0; Round < 20; ++Round) {
    W.startRequest();
    EXPECT_NE(W.SentServers.back(), Unresponsive);
    const std::size_t SentCount = W.SentServers.size();
    W.endAttempt(0, AttemptResult::Answered);
    EXPECT_EQ(W.SentServers.size(), SentCount);
  }
}

// Guards against endless retries when all servers of a shard refuse
// connections: each request cycled through them and opened over a hundred
// connections.
TEST(RelayRequestTest, UnreachableServersAreTriedOnceEach) {
  RelayRequestHarness W(10);
  W.RequestRoute.MinCoverage = 0.9;
  W.startRequest();
  for (std::size_t Part = 1; Part < 10; ++Part)
    W.endAttempt(Part, AttemptResult::Answered);
  for (std::size_t Attempt :
       {std::size_t{0}, std::size_t{10}, std::size_t{11}}) {
    ASSERT_LT(Attempt, W.SentServers.size());
    W.serverOf(Attempt)->Unreachable = true;
    W.endAttempt(Attempt, AttemptResult::NotSent);
    W.advance(absl::Milliseconds(1));
  }
  ASSERT_TRUE(W.answered());
  EXPECT_EQ(W.Verdict->MissingParts, 1u);
  EXPECT_EQ(W.SentServers.size(), 12u);
}

TEST(RelayRequestTest, SurveyWithTooFewReachableShardsIsRejectedUnsent) {
  RelayRequestHarness W(4, 1);
  W.startRequest();
  for (std::size_t Part = 0; Part < 2; ++Part) {
    W.serverOf(Part)->Unreachable = true;
    W.endAttempt(Part, AttemptResult::NotSent);
  }
  W.SentServers.clear();
  W.startRequest();
  ASSERT_TRUE(W.answered());
  EXPECT_EQ(W.Verdict->Outcome, RelayOutcome::Unservable);
  EXPECT_GT(W.Verdict->RetryAfter, absl::ZeroDuration());
  EXPECT_TRUE(W.SentServers.empty());
}

// Guards against rejections after a single slow response: the first response of
// the only server took half a second, and the next request was rejected because
// it was expected to take as long.
TEST(RelayRequestTest, OneSlowResponseDoesNotCauseRejections) {
  RelayRequestHarness W(1, 1);
  W.startRequest();
  W.advance(absl::Milliseconds(500));
  W.endAttempt(0, AttemptResult::Answered);
  W.Verdict.reset();
  W.startRequest();
  EXPECT_FALSE(W.answered());
  EXPECT_EQ(W.SentServers.size(), 2u);
}

// An instance that is behind with its work finds the parts of a survey late
// although their responses have arrived.
TEST(RelayRequestTest, NoHedgesWhileMostPartsAreLate) {
  RelayRequestHarness W(20);
  W.RequestRoute.Objective = absl::Milliseconds(200);
  W.startRequest();
  W.advance(absl::Milliseconds(100));
  EXPECT_EQ(W.SentServers.size(), 20u);
  EXPECT_EQ(W.Request->hedgesWithheld(HedgeWithheldReason::MostPartsOpen), 20u);
  for (std::size_t I = 0; I < 16; ++I)
    W.endAttempt(I, AttemptResult::Answered);
  W.advance(absl::Milliseconds(20));
  EXPECT_EQ(W.SentServers.size(), 24u);
}

TEST(RelayRequestTest, PausedServersAreRejectedAtOnceUntilTheFirstPauseEnds) {
  RelayRequestHarness W(1, 2);
  W.startRequest();
  for (std::size_t Attempt = 0; Attempt < 2; ++Attempt) {
    W.State->pauseServer(W.serverOf(Attempt), absl::Seconds(5 - Attempt),
                         W.Now);
    W.endAttempt(Attempt, AttemptResult::Shed);
    W.advance(absl::Milliseconds(1));
  }
  ASSERT_TRUE(W.answered());
  EXPECT_EQ(W.Verdict->Outcome, RelayOutcome::Rejected);
  EXPECT_GE(W.Verdict->RetryAfter, absl::Milliseconds(3990));
  const std::size_t Sent = W.SentServers.size();
  Duration Last = W.Verdict->RetryAfter;
  for (int I = 0; I < 5; ++I) {
    W.Verdict.reset();
    W.startRequest();
    ASSERT_TRUE(W.answered());
    EXPECT_EQ(W.Verdict->Outcome, RelayOutcome::Rejected);
    // Callers that are rejected together do not return together.
    EXPECT_GT(W.Verdict->RetryAfter, Last);
    Last = W.Verdict->RetryAfter;
  }
  EXPECT_EQ(W.SentServers.size(), Sent);
}

TEST(RelayRequestTest, SurveyLeavesAPausedShardOutIfCoverageAllows) {
  RelayRequestHarness W(4, 1);
  W.startRequest();
  const ServerRef Paused = W.serverOf(0);
  for (std::size_t Attempt = 0; Attempt < 4; ++Attempt)
    W.endAttempt(Attempt, AttemptResult::Answered);
  W.State->pauseServer(Paused, absl::Seconds(5), W.Now);
  W.Verdict.reset();
  W.SentServers.clear();
  W.startRequest();
  ASSERT_EQ(W.SentServers.size(), 3u);
  for (std::size_t Attempt = 0; Attempt < 3; ++Attempt)
    W.endAttempt(Attempt, AttemptResult::Answered);
  ASSERT_TRUE(W.answered());
  EXPECT_EQ(W.Verdict->Outcome, RelayOutcome::Merged);
  EXPECT_EQ(W.Verdict->MissingParts, 1u);
}

// The response to an attempt from before the server was removed and listed
// again.
TEST(RelayRequestTest, LateResponseOfARemovedServerAppliesToItsNewEntry) {
  for (const bool Leaves : {true, false}) {
    RelayRequestHarness W(1, 1);
    W.startRequest();
    const ServerRef Old = W.serverOf(0);
    const DiscoveredServer Info = Old->Info;
    W.endAttempt(0, AttemptResult::Answered);
    W.State->applyFeedChanges({FeedChange{Info.Id, std::nullopt}}, W.Now);
    W.State->applyFeedChanges({FeedChange{Info.Id, Info}}, W.Now);
    if (Leaves)
      EXPECT_TRUE(W.State->markLeaving(Old));
    else
      EXPECT_TRUE(W.State->pauseServer(Old, absl::Seconds(5), W.Now));
    W.Verdict.reset();
    W.startRequest();
    ASSERT_TRUE(W.answered());
    EXPECT_EQ(W.Verdict->Outcome,
              Leaves ? RelayOutcome::Unservable : RelayOutcome::Rejected);
    EXPECT_EQ(W.SentServers.size(), 1u);
  }
}

TEST(RelayRequestTest, RequestWaitsForTheLimitOfItsServer) {
  RelayRequestHarness W(1, 1);
  W.startRequest();
  W.State->limitServer(W.serverOf(0), 10, W.Now);
  W.endAttempt(0, AttemptResult::Answered);
  W.startRequest();
  W.advance(absl::Milliseconds(90));
  EXPECT_EQ(W.SentServers.size(), 1u);
  W.advance(absl::Milliseconds(20));
  EXPECT_EQ(W.SentServers.size(), 2u);
}

TEST(RelayRequestTest, RequestThatALimitDelaysTooLongIsRejectedAtOnce) {
  RelayRequestHarness W(1, 1);
  W.startRequest();
  W.State->limitServer(W.serverOf(0), 0.5, W.Now);
  W.endAttempt(0, AttemptResult::Answered);
  W.Verdict.reset();
  W.startRequest();
  ASSERT_TRUE(W.answered());
  EXPECT_EQ(W.Verdict->Outcome, RelayOutcome::Rejected);
  EXPECT_GE(W.Verdict->RetryAfter, absl::Milliseconds(900));
  EXPECT_EQ(W.SentServers.size(), 1u);
}

// The first attempt is lost, and the limit leaves no second one in time.
TEST(RelayRequestTest, RetryThatALimitDelaysTooLongIsNotHeld) {
  RelayRequestHarness W(1, 1);
  W.startRequest();
  W.State->limitServer(W.serverOf(0), 0.5, W.Now);
  W.endAttempt(0, AttemptResult::Shed);
  W.advance(absl::Milliseconds(1));
  EXPECT_TRUE(W.answered());
}

TEST(RelayRequestTest, SurveyLeavesALimitedShardOutIfCoverageAllows) {
  RelayRequestHarness W(4, 1);
  W.startRequest();
  const ServerRef Limited = W.serverOf(0);
  for (std::size_t Attempt = 0; Attempt < 4; ++Attempt)
    W.endAttempt(Attempt, AttemptResult::Answered);
  W.State->limitServer(Limited, 1, W.Now);
  W.SentServers.clear();
  W.startRequest();
  EXPECT_EQ(W.SentServers.size(), 3u);
}

TEST(RelayRequestTest, LimitEndsWithTheIncarnation) {
  RelayRequestHarness W(1, 1);
  W.startRequest();
  const ServerRef Old = W.serverOf(0);
  DiscoveredServer Info = Old->Info;
  W.State->limitServer(Old, 1, W.Now);
  W.endAttempt(0, AttemptResult::Answered);
  // Removed and listed again: the same incarnation.
  W.State->applyFeedChanges({FeedChange{Info.Id, std::nullopt}}, W.Now);
  W.State->applyFeedChanges({FeedChange{Info.Id, Info}}, W.Now);
  W.Verdict.reset();
  W.startRequest();
  EXPECT_EQ(W.SentServers.size(), 1u);
  Info.StartedAtMillis = 7;
  W.State->applyFeedChanges({FeedChange{Info.Id, Info}}, W.Now);
  W.Verdict.reset();
  W.startRequest();
  EXPECT_EQ(W.SentServers.size(), 2u);
}

TEST(RelayRequestTest, SuspectedRequestsRunAlone) {
  RelayRequestHarness W(1, 3);
  AttemptPermitRequest Request;
  RouteStats Stats;
  Request.Stats = &Stats;
  W.startRequest();
  const std::shared_ptr<BackendPool> Pool = W.Request->poolOf(0);
  Request.Suspected = true;
  const AttemptPermit Suspect = Pool->acquire(Request, false, nullptr, W.Now);
  ASSERT_NE(Suspect.Server, nullptr);
  EXPECT_NE(Suspect.Server, W.serverOf(0));
  Request.Suspected = false;
  for (int I = 0; I < 10; ++I) {
    const AttemptPermit Other = Pool->acquire(Request, false, nullptr, W.Now);
    ASSERT_NE(Other.Server, nullptr);
    EXPECT_NE(Other.Server, Suspect.Server);
  }
}

// The request becomes known to end servers while it waits and between its
// attempts.
TEST(RelayRequestTest, BlockedRequestIsNotSentAgain) {
  RelayRequestHarness W(1, 3);
  W.startRequest();
  W.Request->IsBlocked = [] { return true; };
  W.advance(absl::Milliseconds(500));
  EXPECT_EQ(W.SentServers.size(), 1u);
  W.endAttempt(0, AttemptResult::Lost);
  W.advance(absl::Milliseconds(1));
  EXPECT_EQ(W.SentServers.size(), 1u);
  ASSERT_TRUE(W.answered());
  EXPECT_EQ(W.Verdict->Outcome, RelayOutcome::Failed);
}

// After an outage that dropped the registrations the first instances to read
// the directory find themselves alone in it.
TEST(RelayRequestTest, LostRegistrationsDoNotRaiseTheExtraLoad) {
  RelayRequestHarness W(1, 1);
  const std::vector<std::string> Names = {"a", "b", "c", "d", "e"};
  W.State->sharing().update(Names, 5, W.Now);
  W.State->setInstanceCount(5, 5, true, W.Now);
  W.startRequest();
  EXPECT_EQ(W.Request->plan().BudgetSharers, 5);
  W.State->sharing().update({"a"}, 1, W.Now);
  W.State->setInstanceCount(1, 1, true, W.Now);
  W.startRequest();
  EXPECT_EQ(W.Request->plan().BudgetSharers, 5);
  W.Now += absl::Seconds(31);
  W.startRequest();
  EXPECT_EQ(W.Request->plan().BudgetSharers, 1);
}

// Both servers would end before the first end blocks the request.
TEST(RelayRequestTest, SuspectedRequestIsNotHedged) {
  RelayRequestHarness W(1, 3);
  W.startRequest();
  W.Request->IsSuspected = [] { return true; };
  W.advance(absl::Milliseconds(500));
  EXPECT_EQ(W.SentServers.size(), 1u);
  EXPECT_FALSE(W.answered());
}
