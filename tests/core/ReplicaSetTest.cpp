#include "quetzallead/ReplicaSet.h"
#include <gtest/gtest.h>
#include <random>
#include <rapidcheck/gtest.h>

using namespace quetzallead;

namespace {

const TimePoint Start = absl::UnixEpoch() + absl::Hours(1);

class Recorder : public PermitListener {
public:
  void onPermit(std::size_t Part, std::size_t Replica, TimePoint) override {
    Parts.push_back(Part);
    Replicas.push_back(Replica);
  }
  void onRefusal(std::size_t, MissingReason Reason, TimePoint) override {
    Refusals.push_back(Reason);
  }
  std::vector<std::size_t> Parts;
  std::vector<std::size_t> Replicas;
  std::vector<MissingReason> Refusals;
};

ShardSpec shardOf(int Replicas, int Connections = 25) {
  ShardSpec Spec;
  Spec.Name = "s0";
  for (int Index = 0; Index < Replicas; ++Index) {
    BackendServerSpec Server;
    Server.Name = "server" + std::to_string(Index);
    Server.Zone = std::string(1, static_cast<char>('a' + Index));
    Server.Address = "127.0.0.1:" + std::to_string(1000 + Index);
    Server.Slots = 2;
    Server.ConnectionLimit = Connections;
    Spec.Servers.push_back(Server);
  }
  return Spec;
}

ReplicaSetOptions optionsOf(RoutingPolicy Policy) {
  ReplicaSetOptions Options;
  Options.Policy = Policy;
  Options.Zone = "a";
  return Options;
}

AttemptReport answered(Duration Elapsed) {
  AttemptReport Report;
  Report.Result = AttemptResult::Answered;
  Report.Elapsed = Elapsed;
  return Report;
}

AttemptReport failed(AttemptResult Result) {
  AttemptReport Report;
  Report.Result = Result;
  Report.Elapsed = absl::Microseconds(50);
  return Report;
}

/// The share of \p Rounds single requests that replica 0 receives, each ended
/// by the report that \p ReportOf gives for the replica.
template <typename Fn>
int countOfFirst(ReplicaSet &Set, int Rounds, Fn ReportOf) {
  auto Listener = std::make_shared<Recorder>();
  TimePoint Now = Start;
  int First = 0;
  for (int Round = 0; Round < Rounds; ++Round) {
    Now += absl::Milliseconds(1);
    Permit P = Set.acquire(PermitRequest(), Listener, Now);
    EXPECT_EQ(P.Outcome, PermitOutcome::Granted);
    First += P.Replica == 0 ? 1 : 0;
    Set.release(P.Replica, ReportOf(P.Replica), Now);
  }
  return First;
}

} // namespace

TEST(ReplicaSetTest, SlowReplicaGetsLittle) {
  ReplicaSet Set(shardOf(3), optionsOf(RoutingPolicy::ExpectedCompletion), 9,
                 Start);
  int First = countOfFirst(Set, 300, [](std::size_t Replica) {
    return answered(absl::Milliseconds(Replica == 0 ? 50 : 5));
  });
  EXPECT_LT(First, 15);
}

TEST(ReplicaSetTest, FastFailingReplicaAttractsNothing) {
  ReplicaSet Set(shardOf(3), optionsOf(RoutingPolicy::ExpectedCompletion), 9,
                 Start);
  int First = countOfFirst(Set, 300, [](std::size_t Replica) {
    return Replica == 0 ? failed(AttemptResult::Lost)
                        : answered(absl::Milliseconds(5));
  });
  EXPECT_LT(First, 15);
}

// A server that leaves by closing its connections is ejected after three lost
// attempts. A stall of the others makes requests hedge or retry: these must not
// reach the leaving server.
TEST(ReplicaSetTest, HedgeDoesNotGoToAServerThatFailedRepeatedly) {
  ReplicaSet Set(shardOf(3), optionsOf(RoutingPolicy::ExpectedCompletion), 9,
                 Start);
  auto Listener = std::make_shared<Recorder>();
  TimePoint Now = Start;
  for (int I = 0; I < 3; ++I) {
    PermitRequest ToFirst;
    ToFirst.Excluded = replicaBit(1) | replicaBit(2);
    ASSERT_EQ(Set.acquire(ToFirst, Listener, Now).Replica, 0u);
    Set.release(0, failed(AttemptResult::Lost), Now);
  }
  Now += absl::Seconds(3);
  PermitRequest Third;
  Third.MayWait = false;
  Third.Excluded = replicaBit(1) | replicaBit(2);
  EXPECT_NE(Set.acquire(Third, Listener, Now).Outcome, PermitOutcome::Granted);
  // Nor if another server could not be reached a moment ago.
  PermitRequest ToSecond;
  ToSecond.Excluded = replicaBit(0) | replicaBit(2);
  ASSERT_EQ(Set.acquire(ToSecond, Listener, Now).Replica, 1u);
  Set.release(1, failed(AttemptResult::NotSent), Now);
  PermitRequest Hedge;
  Hedge.MayWait = false;
  Hedge.Excluded = replicaBit(2);
  for (int I = 0; I < 20; ++I) {
    const Permit P = Set.acquire(Hedge, Listener, Now);
    ASSERT_EQ(P.Outcome, PermitOutcome::Granted);
    EXPECT_EQ(P.Replica, 1u);
    Set.release(1, failed(AttemptResult::Cancelled), Now);
  }
}

TEST(ReplicaSetTest, LastReplicaIsNeverEjected) {
  ReplicaSet Set(shardOf(2), optionsOf(RoutingPolicy::ExpectedCompletion), 9,
                 Start);
  auto Listener = std::make_shared<Recorder>();
  for (int Round = 0; Round < 20; ++Round) {
    Permit P = Set.acquire(PermitRequest(), Listener, Start);
    ASSERT_EQ(P.Outcome, PermitOutcome::Granted);
    Set.release(P.Replica, failed(AttemptResult::NotSent), Start);
  }
}

TEST(ReplicaSetTest, DrainingServerGetsNoNewWork) {
  ReplicaSet Set(shardOf(1), optionsOf(RoutingPolicy::ExpectedCompletion), 9,
                 Start);
  auto Listener = std::make_shared<Recorder>();
  Permit P = Set.acquire(PermitRequest(), Listener, Start);
  Set.release(P.Replica, failed(AttemptResult::Draining), Start);
  TimePoint Later = Start + absl::Seconds(5);
  EXPECT_EQ(Set.acquire(PermitRequest(), Listener, Later).Outcome,
            PermitOutcome::Refused);
  Set.noteHealthy("server0", Later);
  EXPECT_EQ(Set.acquire(PermitRequest(), Listener, Later).Outcome,
            PermitOutcome::Refused)
      << "the health report came too soon to be believed";
  Later = Start + absl::Seconds(11);
  Set.noteHealthy("server0", Later);
  EXPECT_EQ(Set.acquire(PermitRequest(), Listener, Later).Outcome,
            PermitOutcome::Granted);
}

TEST(ReplicaSetTest, LeavingByListSheetOrPeerStopsWorkUntilTakenBack) {
  ReplicaSet Set(shardOf(1), optionsOf(RoutingPolicy::ExpectedCompletion), 9,
                 Start);
  auto Listener = std::make_shared<Recorder>();
  Set.noteLeaving("server0", LeavingCause::InstanceList, Start);
  EXPECT_EQ(Set.acquire(PermitRequest(), Listener, Start).Outcome,
            PermitOutcome::Refused);
  Set.noteLeaving("server0", LeavingCause::None, Start);
  EXPECT_EQ(Set.acquire(PermitRequest(), Listener, Start).Outcome,
            PermitOutcome::Granted);
  ShardSpec Spec = shardOf(1);
  Spec.Servers[0].Leaving = true;
  Set.update(Spec, 9, Start);
  EXPECT_EQ(Set.acquire(PermitRequest(), Listener, Start).Outcome,
            PermitOutcome::Refused);
  Set.noteLeaving("server0", LeavingCause::None, Start);
  EXPECT_EQ(Set.acquire(PermitRequest(), Listener, Start).Outcome,
            PermitOutcome::Refused)
      << "the sheet's word stands until the sheet changes";
}

TEST(ReplicaSetTest, UrgentRequestsGoFirstWithoutStarvingOthers) {
  ReplicaSet Set(shardOf(1, 2), optionsOf(RoutingPolicy::ExpectedCompletion), 9,
                 Start);
  auto Listener = std::make_shared<Recorder>();
  TimePoint Now = Start + absl::Seconds(1);
  Permit Held = Set.acquire(PermitRequest(), Listener, Now);
  ASSERT_EQ(Held.Outcome, PermitOutcome::Granted);
  PermitRequest Ordinary;
  Ordinary.Part = 1;
  ASSERT_EQ(Set.acquire(Ordinary, Listener, Now).Outcome,
            PermitOutcome::Queued);
  PermitRequest Urgent;
  Urgent.Urgency = Priority::Urgent;
  Urgent.Part = 2;
  for (int Count = 0; Count < 20; ++Count)
    ASSERT_EQ(Set.acquire(Urgent, Listener, Now).Outcome,
              PermitOutcome::Queued);
  std::vector<std::size_t> Order;
  for (int Count = 0; Count < 21; ++Count)
    for (const PermitGrant &Grant :
         Set.release(0, answered(absl::Milliseconds(5)), Now))
      Order.push_back(Grant.Part);
  ASSERT_EQ(Order.size(), 21u);
  EXPECT_EQ(Order.front(), 2u);
  EXPECT_NE(Order.back(), 1u) << "the ordinary request waited for all urgent";
}

TEST(ReplicaSetTest, RefusesAtOnceWhatCannotMeetItsDeadline) {
  ReplicaSet Set(shardOf(1, 2), optionsOf(RoutingPolicy::ExpectedCompletion), 9,
                 Start);
  auto Listener = std::make_shared<Recorder>();
  TimePoint Now = Start + absl::Seconds(1);
  Set.acquire(PermitRequest(), Listener, Now);
  PermitRequest Hasty;
  Hasty.Deadline = Now + absl::Milliseconds(1);
  Permit P = Set.acquire(Hasty, Listener, Now);
  EXPECT_EQ(P.Outcome, PermitOutcome::Refused);
  EXPECT_EQ(P.Reason, MissingReason::Shed);
  EXPECT_GT(P.RetryAfter, absl::ZeroDuration());
}

TEST(ReplicaSetTest, WaitersThatNoReplicaCanServeAnyMoreAreToldSo) {
  ReplicaSet Set(shardOf(1, 2), optionsOf(RoutingPolicy::ExpectedCompletion), 9,
                 Start);
  auto Listener = std::make_shared<Recorder>();
  TimePoint Now = Start + absl::Seconds(1);
  PermitRequest Pinned;
  Pinned.Version = 11;
  ASSERT_EQ(Set.acquire(Pinned, Listener, Now).Outcome, PermitOutcome::Granted);
  ASSERT_EQ(Set.acquire(Pinned, Listener, Now).Outcome, PermitOutcome::Queued);
  PermitRequest Any;
  ASSERT_EQ(Set.acquire(Any, Listener, Now).Outcome, PermitOutcome::Queued);
  AttemptReport Report = failed(AttemptResult::WrongVersion);
  Report.Held = HeldVersions{1, 12, 13};
  for (const PermitGrant &Grant : Set.release(0, Report, Now))
    Grant.deliver(Now);
  ASSERT_EQ(Listener->Refusals.size(), 1u);
  EXPECT_EQ(Listener->Refusals[0], MissingReason::OtherVersion);
  EXPECT_EQ(Listener->Parts.size(), 1u) << "the one behind goes on";
}

TEST(ReplicaSetTest, QueueIsBounded) {
  ReplicaSetOptions Options = optionsOf(RoutingPolicy::ExpectedCompletion);
  Options.QueueLimit = 3;
  ReplicaSet Set(shardOf(1, 2), Options, 9, Start);
  auto Listener = std::make_shared<Recorder>();
  TimePoint Now = Start + absl::Seconds(1);
  Set.acquire(PermitRequest(), Listener, Now);
  for (int Count = 0; Count < 3; ++Count)
    EXPECT_EQ(Set.acquire(PermitRequest(), Listener, Now).Outcome,
              PermitOutcome::Queued);
  EXPECT_EQ(Set.acquire(PermitRequest(), Listener, Now).Outcome,
            PermitOutcome::Refused);
}

RC_GTEST_PROP(ReplicaSetPropertyTest, NeverBeyondTheConnectionShare,
              (std::uint64_t Seed)) {
  std::mt19937_64 Engine(Seed);
  int Connections = 1 + static_cast<int>(Engine() % 40);
  int Instances = 1 + static_cast<int>(Engine() % 12);
  auto Policy = static_cast<RoutingPolicy>(Engine() % 5);
  ReplicaSet Set(shardOf(3, Connections), optionsOf(Policy), Instances, Start);
  auto Listener = std::make_shared<Recorder>();
  std::vector<std::size_t> Held;
  TimePoint Now = Start;
  int Share = std::max(1, Connections / Instances);
  for (int Round = 0; Round < 200; ++Round) {
    Now += absl::Milliseconds(Engine() % 20);
    if (Engine() % 2 == 0) {
      Permit P = Set.acquire(PermitRequest(), Listener, Now);
      if (P.Outcome == PermitOutcome::Granted)
        Held.push_back(P.Replica);
    } else if (!Held.empty()) {
      std::size_t Replica = Held.back();
      Held.pop_back();
      auto Result = static_cast<AttemptResult>(Engine() % 12);
      for (const PermitGrant &Grant : Set.release(Replica, failed(Result), Now))
        if (!Grant.Refusal)
          Held.push_back(Grant.Replica);
    }
    for (std::size_t Replica = 0; Replica < 3; ++Replica)
      RC_ASSERT(Set.belief(Replica).Outstanding <= Share);
  }
}

TEST(ReplicaSetTest, PeersWordOfLossesHoldsAServerBackUnlessItAnswersHere) {
  for (bool Answers : {false, true}) {
    ReplicaSet Set(shardOf(2), optionsOf(RoutingPolicy::ExpectedCompletion), 1,
                   Start);
    ASSERT_TRUE(Set.acquireOn(0));
    Set.release(0, answered(absl::Milliseconds(1)), Start);
    const TimePoint Told =
        Start + (Answers ? absl::Milliseconds(500) : absl::Seconds(2));
    Set.noteUnanswering("server0", Told);
    // A health probe alone does not bring it back.
    Set.noteReachable(0, Told + absl::Seconds(3));
    EXPECT_EQ(Set.belief(0).NeedsProbe, !Answers);
    const int First = countOfFirst(
        Set, 20, [](std::size_t) { return answered(absl::Milliseconds(5)); });
    EXPECT_EQ(First > 0, Answers);
  }
}

TEST(ReplicaSetTest, FurtherFailuresDoNotShortenTheHold) {
  ReplicaSet Set(shardOf(2), optionsOf(RoutingPolicy::ExpectedCompletion), 1,
                 Start);
  for (int Failure = 0; Failure < 3; ++Failure) {
    ASSERT_TRUE(Set.acquireOn(0));
    Set.release(0, failed(AttemptResult::Lost), Start);
  }
  const TimePoint Held = Set.belief(0).EjectedUntil;
  ASSERT_TRUE(Set.acquireOn(0));
  Set.release(0, failed(AttemptResult::NotSent),
              Start + absl::Milliseconds(10));
  EXPECT_GE(Set.belief(0).EjectedUntil, Held);
  Set.noteDead("server0", Start + absl::Milliseconds(20));
  EXPECT_GE(Set.belief(0).EjectedUntil, Held);
  // A health probe alone does not bring it back.
  Set.noteReachable(0, Start + absl::Seconds(6));
  EXPECT_TRUE(Set.belief(0).NeedsProbe);
}

TEST(ReplicaSetTest, AnswerSentBeforeAFailureDoesNotEndTheHold) {
  ReplicaSet Set(shardOf(2), optionsOf(RoutingPolicy::ExpectedCompletion), 1,
                 Start);
  ASSERT_TRUE(Set.acquireOn(0));
  for (int Failure = 0; Failure < 3; ++Failure) {
    ASSERT_TRUE(Set.acquireOn(0));
    Set.release(0, failed(AttemptResult::Lost),
                Start + absl::Milliseconds(10 + Failure));
  }
  const TimePoint Later = Start + absl::Milliseconds(20);
  const TimePoint Held = Set.belief(0).EjectedUntil;
  ASSERT_GT(Held, Later);
  // Sent at Start, before the failures.
  Set.release(0, answered(absl::Milliseconds(20)), Later);
  EXPECT_EQ(Set.belief(0).EjectedUntil, Held);
  EXPECT_TRUE(Set.belief(0).NeedsProbe);
  // Sent after them.
  ASSERT_TRUE(Set.acquireOn(0));
  Set.release(0, answered(absl::Milliseconds(5)),
              Later + absl::Milliseconds(10));
  EXPECT_FALSE(Set.belief(0).NeedsProbe);
}
