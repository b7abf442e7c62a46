#include "relay/RelayRequestHarness.h"
#include <gtest/gtest.h>
#include <random>

using namespace quetzallead;

namespace {

/// Servers of 36 shards, of which about half turn away 60 of 100 attempts, and
/// surveys one after another that need 35 shards.
class ShedAcrossShards {
public:
  ShedAcrossShards() : H(36), Engine(11) {
    H.RequestRoute.MinCoverage = 0.95;
    H.RequestRoute.Objective = absl::Milliseconds(150);
    std::bernoulli_distribution Sheds(0.5);
    for (int Shard = 0; Shard < 36; ++Shard) {
      // One sound server a shard at least.
      const std::string Service = "s" + std::to_string(Shard) + "-";
      for (int Replica = 0; Replica < 2; ++Replica)
        if (Sheds(Engine))
          Shedding.insert(Service + std::to_string(Replica));
    }
  }

  /// Whether a survey is answered by its objective.
  bool serveOne() {
    H.Verdict.reset();
    H.SentServers.clear();
    H.startRequest();
    const TimePoint End = H.Now + absl::Milliseconds(140);
    std::size_t Handled = 0;
    while (!H.answered() && H.Now < End) {
      for (; Handled < H.SentServers.size() && !H.answered(); ++Handled)
        H.endAttempt(Handled, result(H.SentServers[Handled]));
      H.advance(absl::Milliseconds(5));
    }
    const bool Served =
        H.answered() && H.Verdict->Outcome == RelayOutcome::Merged;
    H.advance(absl::Milliseconds(30));
    return Served;
  }

  std::size_t attempts() const { return H.SentServers.size(); }

private:
  AttemptResult result(const std::string &Server) {
    const bool Shed =
        Shedding.count(Server) != 0 && std::bernoulli_distribution(0.6)(Engine);
    return Shed ? AttemptResult::Shed : AttemptResult::Answered;
  }

  RelayRequestHarness H;
  std::mt19937 Engine;
  std::set<std::string> Shedding;
};

} // namespace

// Half of the servers turned away most of what they got, and were asked as
// often as the others: surveys lost their coverage though each shard had a
// sound server.
TEST(ShedAcrossShardsTest, SurveysUseTheServersThatTakeThem) {
  ShedAcrossShards Shards;
  for (int I = 0; I < 20; ++I)
    Shards.serveOne();
  int Served = 0;
  std::size_t Attempts = 0;
  for (int I = 0; I < 50; ++I) {
    Served += Shards.serveOne() ? 1 : 0;
    Attempts += Shards.attempts();
  }
  EXPECT_GE(Served, 49);
  EXPECT_LE(Attempts, 36U * 50 * 11 / 10);
}

// A part whose servers have both turned it away failed at once, and the survey
// with it. A route's limit is one of servers, and neither has run the part.
TEST(ShedAcrossShardsTest, PartReturnsToAServerThatTurnedItAway) {
  RelayRequestHarness H(1);
  H.startRequest();
  H.endAttempt(0, AttemptResult::Shed);
  H.advance(absl::Milliseconds(1));
  H.endAttempt(1, AttemptResult::Shed);
  EXPECT_FALSE(H.answered());
  H.advance(absl::Milliseconds(20));
  ASSERT_EQ(H.SentServers.size(), 3U);
  EXPECT_TRUE(H.SentServers[2] == H.SentServers[0] ||
              H.SentServers[2] == H.SentServers[1]);
  H.endAttempt(2, AttemptResult::Answered);
  ASSERT_TRUE(H.answered());
  EXPECT_EQ(H.Verdict->Outcome, RelayOutcome::Relayed);
}

TEST(ShedAcrossShardsTest, PartDoesNotReturnToAServerThatMayHaveRunIt) {
  RelayRequestHarness H(1);
  H.startRequest();
  H.endAttempt(0, AttemptResult::Lost);
  H.advance(absl::Milliseconds(1));
  H.endAttempt(1, AttemptResult::Lost);
  H.advance(absl::Milliseconds(500));
  EXPECT_EQ(H.SentServers.size(), 2U);
}

TEST(ShedAcrossShardsTest, RequestThatRunsOnceDoesNotReturn) {
  RelayRequestHarness H(1);
  H.RequestRoute.Kind = RequestKind::AtMostOnce;
  H.startRequest();
  H.endAttempt(0, AttemptResult::Shed);
  H.advance(absl::Milliseconds(1));
  H.endAttempt(1, AttemptResult::Shed);
  H.advance(absl::Milliseconds(500));
  EXPECT_EQ(H.SentServers.size(), 2U);
}

// Late returns would hold the caller for nothing.
TEST(ShedAcrossShardsTest, PartDoesNotReturnAfterTheObjective) {
  RelayRequestHarness H(1);
  H.startRequest();
  H.endAttempt(0, AttemptResult::Shed);
  H.advance(absl::Milliseconds(95));
  H.endAttempt(1, AttemptResult::Shed);
  ASSERT_TRUE(H.answered());
  EXPECT_EQ(H.Verdict->Outcome, RelayOutcome::Rejected);
}

// The only server of a service turned everything away, and its callers waited
// until their deadline.
TEST(ShedAcrossShardsTest, RequestIsNotHeldForAServerThatTakesNothing) {
  RelayRequestHarness H(1, 1);
  H.startRequest();
  const TimePoint Begin = H.Now;
  std::size_t Ended = 0;
  while (!H.answered() && H.Now - Begin < absl::Milliseconds(500)) {
    for (; Ended < H.SentServers.size() && !H.answered(); ++Ended)
      H.endAttempt(Ended, AttemptResult::Shed);
    H.advance(absl::Milliseconds(1));
  }
  ASSERT_TRUE(H.answered());
  EXPECT_EQ(H.Verdict->Outcome, RelayOutcome::Rejected);
  EXPECT_LE(H.Now - Begin, H.RequestRoute.Objective + absl::Milliseconds(12));
}

TEST(ShedAcrossShardsTest, ServerIsUsedAgainSoonAfterItTakesRequests) {
  RelayRequestHarness H(1);
  for (int I = 0; I < 30; ++I) {
    H.startRequest();
    const bool Sheds = H.SentServers.back() == "s0-0";
    H.endAttempt(0, Sheds ? AttemptResult::Shed : AttemptResult::Answered);
    H.advance(absl::Milliseconds(10));
    if (Sheds)
      H.endAttempt(1, AttemptResult::Answered);
  }
  H.advance(absl::Seconds(5));
  H.SentServers.clear();
  for (int I = 0; I < 10; ++I) {
    H.startRequest();
    H.endAttempt(0, AttemptResult::Answered);
    H.advance(absl::Milliseconds(10));
  }
  EXPECT_GE(std::count(H.SentServers.begin(), H.SentServers.end(), "s0-0"), 8);
}
