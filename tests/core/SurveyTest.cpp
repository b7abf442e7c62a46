#include "quetzallead/Survey.h"
#include <deque>
#include <gtest/gtest.h>
#include <memory>
#include <random>
#include <rapidcheck/gtest.h>
#include <set>

using namespace quetzallead;
using nlohmann::json;

namespace {

const TimePoint Start = absl::UnixEpoch() + absl::Hours(1);

/// A replica in the test: what it holds and how it behaves.
struct FakeReplica {
  std::uint64_t Oldest = 1;
  std::uint64_t Newest = 1;
  std::uint64_t Epoch = 1;
  double LossShare = 0;
  double ShedShare = 0;
  bool Dead = false;
};

struct InFlight {
  SendAttempt Send;
  bool Cancelled = false;
};

/// Drives one survey against replicas in memory; events come in random order.
class SurveyDriver {
public:
  SurveyDriver(std::size_t PartCount, std::size_t ReplicaCount,
               std::uint64_t Seed)
      : Engine(Seed), Replicas(PartCount) {
    for (auto &Part : Replicas)
      Part.resize(ReplicaCount);
    Plan.Epoch = 1;
    Plan.Deadline = Start + absl::Milliseconds(500);
    Plan.CoverageDeadline = Plan.Deadline;
    for (std::size_t Index = 0; Index < PartCount; ++Index) {
      PartPlan Part;
      Part.Shard = "s" + std::to_string(Index);
      Part.From = Index == 0 ? "" : std::to_string(1000 + Index);
      Part.To = Index + 1 == PartCount ? "" : std::to_string(1001 + Index);
      Part.Held.resize(ReplicaCount);
      Plan.Parts.push_back(Part);
    }
  }

  /// Runs to the end and returns the answer. \p Between is called before each
  /// event, to change replicas in the middle of the survey.
  template <typename Fn> Answer run(Fn Between) {
    Survey S(Plan, Budget);
    SurveyActions Out;
    S.start(Now, Out);
    perform(S, Out);
    while (!S.finished()) {
      Between();
      step(S);
    }
    EXPECT_EQ(Finishes, 1);
    Answer Result = S.takeAnswer();
    drainLate(S);
    EXPECT_EQ(PermitsOut, 0) << "a permit was not given back";
    Extra = S.extraAttempts();
    return Result;
  }
  Answer run() {
    return run([] {});
  }

  std::mt19937_64 Engine;
  SurveyPlan Plan;
  std::vector<std::vector<FakeReplica>> Replicas;
  RetryBudget Budget{0.05};
  int Sent = 0;
  int Extra = 0;
  int PermitsOut = 0;

private:
  bool chance(double Share) {
    return std::uniform_real_distribution<>(0, 1)(Engine) < Share;
  }

  void perform(Survey &S, SurveyActions &First) {
    std::deque<SurveyActions> Todo{std::move(First)};
    while (!Todo.empty()) {
      SurveyActions A = std::move(Todo.front());
      Todo.pop_front();
      Finishes += A.Finished ? 1 : 0;
      PermitsOut -= static_cast<int>(A.Return.size());
      for (const SendAttempt &Send : A.Send) {
        Flying.push_back(InFlight{Send});
        ++Sent;
      }
      for (const CancelAttempt &C : A.Cancel)
        for (InFlight &F : Flying)
          if (F.Send.Attempt == C.Attempt)
            F.Cancelled = true;
      for (const AcquirePermit &Ask : A.Acquire) {
        SurveyActions Next;
        acquire(S, Ask, Next);
        Todo.push_back(std::move(Next));
      }
    }
  }

  void acquire(Survey &S, const AcquirePermit &Ask, SurveyActions &Next) {
    std::vector<std::size_t> Free;
    for (std::size_t R = 0; R < Replicas[Ask.Part].size(); ++R)
      if ((Ask.Excluded & replicaBit(R)) == 0)
        Free.push_back(R);
    if (Free.empty()) {
      S.onRefused(Ask.Part, MissingReason::NoReplica, absl::Milliseconds(50),
                  Now, Next);
      return;
    }
    ++PermitsOut;
    S.onPermit(Ask.Part, Free[Engine() % Free.size()], Now, Next);
  }

  void step(Survey &S) {
    SurveyActions Out;
    Now += absl::Microseconds(200 + Engine() % 2000);
    if (Flying.empty() || Now >= S.nextTimer()) {
      Now = std::max(Now, S.nextTimer());
      S.onTimer(Now, Out);
    } else {
      land(S, Out);
    }
    perform(S, Out);
  }

  void land(Survey &S, SurveyActions &Out) {
    std::size_t Pick = Engine() % Flying.size();
    InFlight F = Flying[Pick];
    Flying.erase(Flying.begin() + static_cast<long>(Pick));
    --PermitsOut;
    const FakeReplica &R = Replicas[F.Send.Part][F.Send.Replica];
    AttemptId Id = F.Send.Attempt;
    if (R.Dead)
      return S.onFailure(Id, AttemptResult::NotSent, {}, Now, Out);
    if (F.Cancelled)
      return S.onFailure(Id, AttemptResult::Cancelled, {}, Now, Out);
    if (chance(R.ShedShare))
      return S.onFailure(Id, AttemptResult::Shed, {}, Now, Out);
    if (chance(R.LossShare))
      return S.onFailure(Id, AttemptResult::Lost, {}, Now, Out);
    std::uint64_t Version = F.Send.Version == 0 ? R.Newest : F.Send.Version;
    HeldVersions Held{R.Epoch, R.Oldest, R.Newest};
    if (!Held.mayHold(Version) || R.Epoch != Plan.Epoch)
      return S.onFailure(Id, AttemptResult::WrongVersion, Held, Now, Out);
    S.onReply(Id, reply(F.Send.Part, Version), Now, Out);
  }

  SubReply reply(std::size_t Part, std::uint64_t Version) const {
    SubReply Reply;
    Reply.Taken = Snapshot{Plan.Epoch, Version};
    Reply.From = Plan.Parts[Part].From;
    Reply.To = Plan.Parts[Part].To;
    Reply.Rows = json::array();
    for (int Row = 0; Row < 2; ++Row)
      Reply.Rows.push_back(json{{"shard", Plan.Parts[Part].Shard},
                                {"row", Row},
                                {"version", Version}});
    Reply.Count = 2;
    return Reply;
  }

  void drainLate(Survey &S) {
    while (!Flying.empty()) {
      SurveyActions Out;
      land(S, Out);
      EXPECT_TRUE(Out.Send.empty()) << "work sent after the answer";
      perform(S, Out);
    }
  }

  TimePoint Now = Start;
  std::vector<InFlight> Flying;
  int Finishes = 0;
};

/// Every row carries the answer's version; each part is covered by exactly its
/// two rows or named as missing, never both.
void checkAnswer(const SurveyDriver &Driver, const Answer &A) {
  std::set<std::string> Missing;
  for (const MissingShard &M : A.Missing)
    EXPECT_TRUE(Missing.insert(M.Shard).second) << M.Shard << " named twice";
  std::map<std::string, int> RowsOf;
  for (const json &Row : A.Rows) {
    EXPECT_EQ(Row["version"].get<std::uint64_t>(), A.Taken.Version);
    ++RowsOf[Row["shard"].get<std::string>()];
  }
  EXPECT_EQ(A.Wanted, Driver.Plan.Parts.size());
  EXPECT_EQ(A.Covered, RowsOf.size());
  EXPECT_EQ(A.Covered + Missing.size(), A.Wanted);
  for (const auto &[Shard, Count] : RowsOf) {
    EXPECT_EQ(Count, 2) << Shard;
    EXPECT_EQ(Missing.count(Shard), 0u) << Shard;
  }
  EXPECT_TRUE(A.Covered == 0 || A.Taken.Version >= Driver.Plan.MinVersion);
}

} // namespace

TEST(SurveyTest, CoversAllShardsWithOneAttemptEach) {
  SurveyDriver Driver(10, 3, 1);
  Answer A = Driver.run();
  EXPECT_TRUE(A.complete());
  EXPECT_EQ(Driver.Sent, 10);
  checkAnswer(Driver, A);
}

TEST(SurveyTest, DeadReplicaIsTriedElsewhere) {
  SurveyDriver Driver(10, 3, 2);
  for (auto &Part : Driver.Replicas)
    Part[0].Dead = true;
  Answer A = Driver.run();
  EXPECT_TRUE(A.complete());
  checkAnswer(Driver, A);
}

TEST(SurveyTest, DeadShardIsNamedWithItsReason) {
  SurveyDriver Driver(4, 2, 3);
  for (FakeReplica &R : Driver.Replicas[2])
    R.Dead = true;
  Answer A = Driver.run();
  ASSERT_EQ(A.Missing.size(), 1u);
  EXPECT_EQ(A.Missing[0].Shard, "s2");
  EXPECT_EQ(A.Missing[0].Reason, MissingReason::Connection);
  checkAnswer(Driver, A);
}

TEST(SurveyTest, MinorityOnTheOldVersionIsAskedAgain) {
  SurveyDriver Driver(6, 3, 4);
  for (auto &Part : Driver.Replicas)
    for (FakeReplica &R : Part)
      R.Oldest = R.Newest = 2;
  Driver.Replicas[1][0].Oldest = Driver.Replicas[1][0].Newest = 1;
  Answer A = Driver.run();
  EXPECT_TRUE(A.complete());
  EXPECT_EQ(A.Taken.Version, 2u);
  checkAnswer(Driver, A);
}

TEST(SurveyTest, SessionsVersionIsNeverUndercut) {
  SurveyDriver Driver(5, 2, 5);
  Driver.Plan.MinVersion = 3;
  for (auto &Part : Driver.Replicas) {
    Part[0].Oldest = Part[0].Newest = 2;
    Part[1].Oldest = Part[1].Newest = 3;
  }
  Answer A = Driver.run();
  EXPECT_TRUE(A.complete());
  EXPECT_EQ(A.Taken.Version, 3u);
  checkAnswer(Driver, A);
}

TEST(SurveyTest, RepliesAfterAGivenUpPartShowABetterVersion) {
  RetryBudget Budget(0.05);
  SurveyPlan Plan;
  Plan.Epoch = 1;
  Plan.Deadline = Plan.CoverageDeadline = Start + absl::Seconds(1);
  for (int Index = 0; Index < 2; ++Index)
    Plan.Parts.push_back(PartPlan{
        "s" + std::to_string(Index), "", "", {HeldVersions{1, 10, 11}}, 0});
  Survey S(Plan, Budget);
  SurveyActions Out;
  S.start(Start, Out);
  S.onPermit(0, 0, Start, Out);
  S.onPermit(1, 0, Start, Out);
  ASSERT_EQ(Out.Send[0].Version, 11u);
  SurveyActions Given;
  S.onFailure(Out.Send[0].Attempt, AttemptResult::WrongVersion,
              HeldVersions{1, 12, 13}, Start, Given);
  EXPECT_FALSE(S.finished());
  SubReply Reply;
  Reply.Taken = Snapshot{1, 11};
  Reply.Held = HeldVersions{1, 11, 12};
  SurveyActions Again;
  S.onReply(Out.Send[1].Attempt, Reply, Start, Again);
  EXPECT_FALSE(S.finished()) << "version 12 is held by both";
  ASSERT_EQ(Again.Acquire.size(), 2u);
  EXPECT_EQ(Again.Acquire[0].Version, 12u);
}

TEST(SurveyTest, OtherEpochIsMissingNotMixed) {
  SurveyDriver Driver(3, 2, 6);
  for (FakeReplica &R : Driver.Replicas[0])
    R.Epoch = 2;
  Answer A = Driver.run();
  ASSERT_EQ(A.Missing.size(), 1u);
  EXPECT_EQ(A.Missing[0].Reason, MissingReason::OtherEpoch);
  checkAnswer(Driver, A);
}

TEST(SurveyTest, ShardInAnotherRangeCountsAsOtherEpoch) {
  RetryBudget Budget(0.05);
  SurveyPlan Plan;
  Plan.Epoch = 1;
  Plan.Deadline = Plan.CoverageDeadline = Start + absl::Seconds(1);
  Plan.Parts.push_back(PartPlan{"s0", "", "m", {HeldVersions{}}, 0});
  Survey S(Plan, Budget);
  SurveyActions Out;
  S.start(Start, Out);
  S.onPermit(0, 0, Start, Out);
  SubReply Reply;
  Reply.Taken = Snapshot{1, 1};
  Reply.From = "";
  Reply.To = "k";
  S.onReply(Out.Send[0].Attempt, Reply, Start, Out);
  ASSERT_TRUE(S.finished());
  Answer A = S.takeAnswer();
  ASSERT_EQ(A.Missing.size(), 1u);
  EXPECT_EQ(A.Missing[0].Reason, MissingReason::OtherEpoch);
}

TEST(SurveyTest, AllRefusedIsAnsweredAtOnceAndUnrun) {
  RetryBudget Budget(0.05);
  SurveyPlan Plan;
  Plan.Epoch = 1;
  Plan.Deadline = Plan.CoverageDeadline = Start + absl::Seconds(1);
  for (int Index = 0; Index < 3; ++Index)
    Plan.Parts.push_back(PartPlan{"s", "", "", {HeldVersions{}}, 0});
  Survey S(Plan, Budget);
  SurveyActions Out;
  S.start(Start, Out);
  ASSERT_EQ(Out.Acquire.size(), 3u);
  for (std::size_t Index = 0; Index < 3; ++Index)
    S.onRefused(Index, MissingReason::Shed, absl::Milliseconds(70), Start, Out);
  ASSERT_TRUE(S.finished());
  EXPECT_EQ(S.retryAfter(), absl::Milliseconds(70));
  EXPECT_EQ(S.takeAnswer().Run, RunState::NotRun);
}

TEST(SurveyTest, HedgeIsSentBesideASlowAttemptAndTheLoserCancelled) {
  RetryBudget Budget(0.05);
  SurveyPlan Plan;
  Plan.Epoch = 1;
  Plan.Deadline = Plan.CoverageDeadline = Start + absl::Seconds(1);
  Plan.HedgeDelay = absl::Milliseconds(10);
  Plan.Parts.push_back(
      PartPlan{"s0", "", "", {HeldVersions{}, HeldVersions{}}, 0});
  Survey S(Plan, Budget);
  SurveyActions Out;
  S.start(Start, Out);
  S.onPermit(0, 0, Start, Out);
  AttemptId First = Out.Send[0].Attempt;
  EXPECT_EQ(S.nextTimer(), Start + absl::Milliseconds(10));
  Out = SurveyActions();
  S.onTimer(Start + absl::Milliseconds(10), Out);
  ASSERT_EQ(Out.Acquire.size(), 1u);
  EXPECT_FALSE(Out.Acquire[0].MayWait);
  EXPECT_EQ(Out.Acquire[0].Excluded, replicaBit(0));
  Out = SurveyActions();
  S.onPermit(0, 1, Start + absl::Milliseconds(10), Out);
  ASSERT_EQ(Out.Send.size(), 1u);
  SubReply Reply;
  Reply.Taken = Snapshot{1, 1};
  S.onReply(Out.Send[0].Attempt, Reply, Start + absl::Milliseconds(12), Out);
  ASSERT_TRUE(S.finished());
  ASSERT_EQ(Out.Cancel.size(), 1u);
  EXPECT_EQ(Out.Cancel[0].Attempt, First);
  EXPECT_EQ(S.hedges(), 1);
}

TEST(SurveyTest, EarlyAnswerOnceCoverageSuffices) {
  RetryBudget Budget(0.05);
  SurveyPlan Plan;
  Plan.Epoch = 1;
  Plan.Deadline = Start + absl::Seconds(1);
  Plan.CoverageDeadline = Start + absl::Milliseconds(100);
  Plan.LeastCoverage = 0.5;
  for (int Index = 0; Index < 2; ++Index)
    Plan.Parts.push_back(
        PartPlan{"s" + std::to_string(Index), "", "", {HeldVersions{}}, 0});
  Survey S(Plan, Budget);
  SurveyActions Out;
  S.start(Start, Out);
  S.onPermit(0, 0, Start, Out);
  S.onPermit(1, 0, Start, Out);
  SubReply Reply;
  Reply.Taken = Snapshot{1, 1};
  S.onReply(Out.Send[0].Attempt, Reply, Start + absl::Milliseconds(5), Out);
  EXPECT_FALSE(S.finished());
  S.onTimer(Start + absl::Milliseconds(100), Out);
  ASSERT_TRUE(S.finished());
  Answer A = S.takeAnswer();
  ASSERT_EQ(A.Missing.size(), 1u);
  EXPECT_EQ(A.Missing[0].Shard, "s1");
  EXPECT_EQ(A.Missing[0].Reason, MissingReason::Timeout);
}

RC_GTEST_PROP(SurveyPropertyTest, OneSnapshotAndTrueCoverageUnderAnyFaults,
              (std::uint64_t Seed)) {
  std::mt19937_64 Engine(Seed);
  SurveyDriver Driver(1 + Engine() % 12, 1 + Engine() % 3, Seed);
  Driver.Plan.HedgeDelay = absl::Milliseconds(3);
  if (Engine() % 2 == 0)
    Driver.Plan.MinVersion = 1 + Engine() % 3;
  auto Mutate = [&] {
    if (Engine() % 4 != 0)
      return;
    auto &Part = Driver.Replicas[Engine() % Driver.Replicas.size()];
    FakeReplica &R = Part[Engine() % Part.size()];
    switch (Engine() % 6) {
    case 0:
      ++R.Newest;
      R.Oldest = Engine() % 2 == 0 ? R.Newest : R.Oldest;
      break;
    case 1:
      R.Dead = !R.Dead;
      break;
    case 2:
      R.ShedShare = 0.5;
      break;
    case 3:
      R.LossShare = 0.5;
      break;
    case 4:
      R.Epoch = R.Epoch == 1 ? 2 : 1;
      break;
    default:
      R.ShedShare = R.LossShare = 0;
      break;
    }
  };
  Answer A = Driver.run(Mutate);
  checkAnswer(Driver, A);
  RC_ASSERT(!::testing::Test::HasFailure());
}
