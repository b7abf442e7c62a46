#include "absl/strings/str_cat.h"
#include "support/CallerAnswer.h"
#include "support/FakeProcess.h"
#include "support/RunThreads.h"
#include "support/TestFleet.h"
#include "support/WaitUntil.h"
#include <atomic>
#include <gtest/gtest.h>
#include <thread>

using namespace quetzallead;
using nlohmann::json;

namespace {

constexpr int CallerCount = 6;

/// Callers with sessions survey without pause while replicas move on.
class Snapshot : public testing::Test {
protected:
  Snapshot() : Fleet(options()) {}

  static TestFleetOptions options() {
    TestFleetOptions Options;
    Options.Shape.Zones = {"a", "b"};
    Options.Shape.Shards = 3;
    Options.Shape.TimeoutMs = 1500;
    Options.Shape.CoverageWaitMs = 1500;
    Options.Shape.LeastCoverage = 0.1;
    Options.Daemons = {"a", "b"};
    Options.BackendArguments = {"--version", "10",       "--service-time-ms",
                                "3",         "--jitter", "exponential"};
    return Options;
  }

  void SetUp() override { ASSERT_TRUE(Fleet.start()) << Fleet.problem(); }

  /// One survey of a session; checks it and carries the session on.
  void surveyOnce(int Daemon, std::string &Token, std::uint64_t &Seen) {
    HttpFields Headers;
    Headers.add("Quetzallead-Session", Token);
    const CallerAnswer Answer =
        toCallerAnswer(Fleet.ask(Daemon, "survey", json::object(), Headers));
    ++Asked;
    if (!Answer.ok())
      return;
    ++Answered;
    if (Answer.complete())
      ++Complete;
    const json &Taken = Answer.Body["snapshot"];
    const std::uint64_t Version = Taken["version"];
    for (const json &Row : Answer.Body["rows"])
      EXPECT_EQ(Row["version"], Version) << Answer.Body;
    expectCoverage(Answer.Body);
    EXPECT_GE(Version, Seen) << "the session went back";
    Seen = Version;
    EXPECT_FALSE(Answer.Session.empty());
    Token = Answer.Session;
  }

  /// Rows come from the covered shards and from no other.
  static void expectCoverage(const json &Body) {
    constexpr int RowsPerShard = 3;
    const json &Coverage = Body["coverage"];
    EXPECT_EQ(Coverage["covered"].get<int>() * RowsPerShard,
              static_cast<int>(Body["rows"].size()))
        << Body;
    EXPECT_EQ(Coverage["wanted"].get<int>() - Coverage["covered"].get<int>(),
              static_cast<int>(Coverage["missing"].size()))
        << Body;
  }

  /// Lets callers survey until \p Change returns.
  void surveyDuring(const std::function<void()> &Change) {
    std::atomic<bool> Stop{false};
    std::thread Changer([&] {
      Change();
      Stop = true;
    });
    runThreads(CallerCount, [&](int Caller) {
      std::string Token = Fleet.openSession(Caller % 2);
      EXPECT_FALSE(Token.empty());
      std::uint64_t Seen = 0;
      // The session is carried from instance to instance.
      for (int I = 0; !Stop; ++I)
        surveyOnce((Caller + I) % 2, Token, Seen);
    });
    Changer.join();
  }

  void hold(const std::string &Server, int Oldest, int Newest) {
    EXPECT_TRUE(Fleet.backend().setFaults(
        Server, {{"oldest", Oldest}, {"newest", Newest}}));
  }

  /// Waits until callers have got some more answers.
  void letAnswersCome(int More) {
    const int Wanted = Answered + More;
    EXPECT_TRUE(waitUntil([&] { return Answered >= Wanted; }));
  }

  TestFleet Fleet;
  std::atomic<int> Asked{0};
  std::atomic<int> Answered{0};
  std::atomic<int> Complete{0};
};

} // namespace

TEST_F(Snapshot, IsOneWhileReplicasMoveOneByOne) {
  surveyDuring([this] {
    letAnswersCome(10);
    for (int Version = 11; Version <= 15; ++Version)
      for (int Shard = 0; Shard < 3; ++Shard)
        for (const char *Zone : {"a", "b"}) {
          // Each holds its newest version only.
          hold(absl::StrCat("s", Shard, "-", Zone), Version, Version);
          letAnswersCome(3);
        }
    letAnswersCome(10);
  });
  EXPECT_GT(Complete, 0);
  RecordProperty("asked", Asked);
  RecordProperty("answered", Answered);
  RecordProperty("complete", Complete);
}

TEST_F(Snapshot, IsCompleteWhenEachReplicaKeepsTwoVersions) {
  hold("*", 10, 11);
  surveyDuring([this] {
    letAnswersCome(10);
    for (int Version = 12; Version <= 15; ++Version)
      for (int Shard = 0; Shard < 3; ++Shard)
        for (const char *Zone : {"a", "b"}) {
          hold(absl::StrCat("s", Shard, "-", Zone), Version - 1, Version);
          letAnswersCome(3);
        }
  });
  EXPECT_EQ(Complete, Asked) << "some version was held by all at all times";
}

TEST_F(Snapshot, IsOneWithAStragglerThatHoldsAnOlderVersion) {
  EXPECT_TRUE(Fleet.backend().setFaults("s1-a", {{"service_time_ms", 100}}));
  surveyDuring([this] {
    letAnswersCome(10);
    for (int Version = 11; Version <= 13; ++Version) {
      hold("*", Version, Version);
      hold("s1-a", Version - 1, Version - 1);
      letAnswersCome(10);
    }
  });
  EXPECT_GT(Complete, 0);
}
