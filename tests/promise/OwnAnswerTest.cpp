#include "absl/base/thread_annotations.h"
#include "absl/strings/str_cat.h"
#include "quetzallead/PosixMutex.h"
#include "support/CallerAnswer.h"
#include "support/FakeProcess.h"
#include "support/RunThreads.h"
#include "support/TestFleet.h"
#include <gtest/gtest.h>
#include <set>

using namespace quetzallead;
using nlohmann::json;

namespace {

constexpr int CallerCount = 8;
constexpr int RequestsPerCaller = 15;

/// Many callers at once against one daemon and two shards with two replicas.
class OwnAnswer : public testing::Test {
protected:
  OwnAnswer() : Fleet(options()) {}

  static TestFleetOptions options() {
    TestFleetOptions Options;
    Options.Shape.Zones = {"a", "b"};
    Options.Shape.Shards = 2;
    Options.Shape.TimeoutMs = 1500;
    Options.Shape.CoverageWaitMs = 1500;
    Options.Daemons = {"a"};
    Options.BackendArguments = {"--jitter", "exponential"};
    return Options;
  }

  void SetUp() override { ASSERT_TRUE(Fleet.start()) << Fleet.problem(); }

  /// One lookup of a key that no other caller asks for; true if it was
  /// answered.
  bool lookUp(const std::string &Key) {
    const CallerAnswer Answer =
        toCallerAnswer(Fleet.ask(0, "lookup", {{"key", Key}}));
    noteId(Answer);
    EXPECT_NE(Answer.Status, 0) << "no response to the lookup of " << Key;
    if (!Answer.complete())
      return false;
    const json &Rows = Answer.Body["rows"];
    EXPECT_EQ(Rows.size(), 1u);
    EXPECT_EQ(Rows[0]["key"], Key);
    EXPECT_EQ(Answer.Body["request_id"], Answer.RequestId);
    return true;
  }

  /// One survey; true if it was answered whole.
  bool survey() {
    const CallerAnswer Answer =
        toCallerAnswer(Fleet.ask(0, "survey", json::object()));
    noteId(Answer);
    if (!Answer.complete())
      return false;
    std::set<std::string> Keys;
    for (const json &Row : Answer.Body["rows"])
      EXPECT_TRUE(Keys.insert(Row["key"]).second) << "a row came twice";
    EXPECT_EQ(Keys,
              (std::set<std::string>{"-1", "-2", "-3", "b-1", "b-2", "b-3"}));
    return true;
  }

  void noteId(const CallerAnswer &Answer) {
    if (Answer.Status == 0)
      return;
    const PosixMutexLock Held(&Lock);
    EXPECT_FALSE(Answer.RequestId.empty());
    EXPECT_TRUE(Ids.insert(Answer.RequestId).second) << "an id came twice";
  }

  /// Lets all callers ask at once; the number of whole answers.
  int askAll(const std::string &Prefix) {
    std::atomic<int> Whole{0};
    runThreads(CallerCount, [&](int Caller) {
      for (int I = 0; I < RequestsPerCaller; ++I) {
        const char *Shard = I % 2 == 0 ? "a" : "c";
        if (lookUp(absl::StrCat(Shard, Prefix, Caller, "x", I)))
          ++Whole;
        if (I % 5 == 0 && survey())
          ++Whole;
      }
    });
    return Whole;
  }

  void setFaults(const json &Faults) {
    ASSERT_TRUE(Fleet.backend().setFaults("*", Faults));
  }

  /// Everything is answered whole again once the faults have ended.
  void expectRecovery() {
    setFaults({{"exchange", "none"}, {"latency_ms", 0}});
    for (int I = 0; I < 20; ++I)
      EXPECT_TRUE(lookUp(absl::StrCat("arecovered", I)) ||
                  lookUp(absl::StrCat("arecoveredagain", I)));
  }

  TestFleet Fleet;
  PosixMutex Lock;
  std::set<std::string> Ids ABSL_GUARDED_BY(Lock);
};

} // namespace

TEST_F(OwnAnswer, HoldsWithoutFaults) {
  EXPECT_EQ(askAll("n"), CallerCount * (RequestsPerCaller + 3));
}

TEST_F(OwnAnswer, HoldsWhenRepliesNameAnotherRequest) {
  setFaults({{"exchange", "wrong_id"}, {"exchange_share", 0.3}});
  EXPECT_GT(askAll("w"), 0);
  setFaults({{"exchange", "wrong_body_id"}});
  EXPECT_GT(askAll("v"), 0);
  // None of these may be taken for an answer, whatever its rows.
  setFaults({{"exchange_share", 1}});
  EXPECT_EQ(askAll("u"), 0);
  setFaults({{"exchange", "wrong_id"}});
  EXPECT_EQ(askAll("t"), 0);
  expectRecovery();
}

TEST_F(OwnAnswer, HoldsWhenRepliesAreCrossed) {
  setFaults({{"exchange", "crossed"}, {"exchange_share", 0.3}});
  EXPECT_GT(askAll("x"), 0);
  expectRecovery();
}

TEST_F(OwnAnswer, HoldsWhenRepliesComeTwice) {
  setFaults({{"exchange", "duplicate"}, {"exchange_share", 0.5}});
  EXPECT_GT(askAll("d"), 0);
  expectRecovery();
}

TEST_F(OwnAnswer, HoldsWhenRepliesAreCutShort) {
  setFaults({{"exchange", "close_mid_reply"}, {"exchange_share", 0.3}});
  EXPECT_GT(askAll("m"), 0);
  setFaults({{"exchange", "malformed"}});
  EXPECT_GT(askAll("b"), 0);
  expectRecovery();
}

TEST_F(OwnAnswer, HoldsAtEveryLengthOfACutReply) {
  constexpr int ReplyBytes = 360;
  for (int Bytes = 0; Bytes < ReplyBytes; Bytes += 9) {
    setFaults({{"exchange", "cut"},
               {"cut_bytes", Bytes},
               {"exchange_share", 1},
               {"exchange_count", 1}});
    lookUp(absl::StrCat("acut", Bytes));
    setFaults({{"exchange", "none"}});
    EXPECT_TRUE(lookUp(absl::StrCat("acutnext", Bytes)));
  }
}

TEST_F(OwnAnswer, HoldsWhenRepliesComeAfterTheDeadline) {
  setFaults({{"latency_ms", 2500}, {"latency_share", 0.2}});
  EXPECT_GT(askAll("l"), 0);
  expectRecovery();
}
