#include "absl/strings/str_cat.h"
#include "support/CoverageCheck.h"
#include "support/FakeProcess.h"
#include "support/Fetch.h"
#include "support/SheetOperator.h"
#include "support/TestFleet.h"
#include "support/WaitUntil.h"
#include <atomic>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <map>
#include <random>
#include <set>
#include <thread>

using namespace quetzallead;
using nlohmann::json;

namespace {

constexpr int Shards = 4;
constexpr std::uint32_t Seed = 20261203;

/// A shard that may be missing, and the reasons that are true of it.
struct ShardFault {
  json Faults;
  std::set<std::string> Reasons;
};

/// Surveys over four shards of two replicas while shards fail.
class Coverage : public testing::Test {
protected:
  Coverage() : Fleet(options()) {}

  static TestFleetOptions options() {
    TestFleetOptions Options;
    Options.Shape.Zones = {"a", "b"};
    Options.Shape.Shards = Shards;
    Options.Shape.TimeoutMs = 600;
    Options.Shape.CoverageWaitMs = 300;
    Options.Shape.LeastCoverage = 0.25;
    Options.Daemons = {"a", "b"};
    Options.BackendArguments = {"--version", "10", "--service-time-ms", "2"};
    return Options;
  }

  void SetUp() override {
    ASSERT_TRUE(Fleet.start()) << Fleet.problem();
    Partitions[1] = Fleet.sheet()["services"][0]["shards"];
  }

  void setFaults(const std::string &Server, const json &Faults) {
    ASSERT_TRUE(Fleet.backend().setFaults(Server, Faults));
  }

  void setShardFaults(const std::string &Shard, const json &Faults) {
    for (const char *Zone : {"a", "b"})
      setFaults(absl::StrCat(Shard, "-", Zone), Faults);
  }

  void expectTruth(const json &Body) {
    const std::uint64_t Epoch = Body["snapshot"]["epoch"];
    ASSERT_EQ(Partitions.count(Epoch), 1u) << Body;
    EXPECT_THAT(coverageFaults(Body, Partitions[Epoch]), testing::IsEmpty())
        << Body;
  }

  /// One survey; its answer, or null if it was refused.
  json survey(std::size_t Index) {
    const auto Answer = Fleet.ask(Index, "survey", json::object());
    EXPECT_TRUE(Answer);
    if (!Answer || Answer->Status != 200)
      return nullptr;
    json Body = bodyOf(*Answer);
    expectTruth(Body);
    return Body;
  }

  /// Lets callers survey until \p Change returns.
  template <typename Fn> void surveyDuring(Fn Change) {
    constexpr std::size_t Callers = 4;
    std::atomic<bool> Stop{false};
    std::vector<std::thread> Threads;
    for (std::size_t Caller = 0; Caller < Callers; ++Caller)
      Threads.emplace_back([&, Caller] {
        while (!Stop)
          if (!survey(Caller % Fleet.size()).is_null())
            ++Answered;
      });
    Change();
    Stop = true;
    for (std::thread &Thread : Threads)
      Thread.join();
  }

  /// Waits until \p Revision governs everywhere.
  void waitInForce(std::uint64_t Revision) {
    SheetOperator Operator(Fleet);
    EXPECT_TRUE(waitUntil([&] {
      for (std::size_t Index = 0; Index < Fleet.size(); ++Index)
        if (Operator.revisionAt(Index) < Revision)
          return false;
      return true;
    }));
  }

  void letAnswersCome(int More) {
    const int Wanted = Answered + More;
    EXPECT_TRUE(waitUntil([&] { return Answered >= Wanted; }));
  }

  TestFleet Fleet;
  /// Shards by partition epoch; written only between surveys of that epoch.
  std::map<std::uint64_t, json> Partitions;
  std::atomic<int> Answered{0};
};

} // namespace

TEST_F(Coverage, NamesTheMissingShardWithItsReason) {
  const std::vector<ShardFault> Cases = {
      {{{"listening", false}, {"close_connections", true}},
       {"connection", "no_replica"}},
      {{{"latency_ms", 3000}}, {"timeout"}},
      {{{"shed_share", 1}}, {"shed"}},
      {{{"oldest", 9}, {"newest", 9}}, {"other_version"}},
      {{{"epoch", 7}}, {"other_epoch"}},
      {{{"exchange", "malformed"}}, {"bad_reply"}},
      {{{"draining", true}}, {"no_replica", "shed"}},
  };
  for (std::size_t I = 0; I < Cases.size(); ++I) {
    const std::string Shard = absl::StrCat("s", I % Shards);
    setShardFaults(Shard, Cases[I].Faults);
    const json Body = survey(I % Fleet.size());
    ASSERT_FALSE(Body.is_null()) << Cases[I].Faults;
    const json &Missing = Body["coverage"]["missing"];
    ASSERT_EQ(Missing.size(), 1u) << Body;
    EXPECT_EQ(Missing[0]["shard"], Shard);
    EXPECT_EQ(Cases[I].Reasons.count(Missing[0]["reason"]), 1u)
        << Cases[I].Faults << " " << Missing;
    json Healed = json::object();
    for (const auto &Item : Cases[I].Faults.items())
      Healed[Item.key()] = nullptr;
    Healed.erase("close_connections");
    Healed["oldest"] = 10;
    Healed["newest"] = 10;
    setShardFaults(Shard, Healed);
    EXPECT_TRUE(waitUntil([&] {
      const json Again = survey(I % Fleet.size());
      return !Again.is_null() && Again["coverage"]["complete"] == true;
    })) << Cases[I].Faults
        << Fleet.logs();
  }
}

TEST_F(Coverage, IsTrueWhileShardsFailAtRandom) {
  const std::vector<json> Faults = {
      {{"latency_ms", 500}, {"latency_share", 0.5}},
      {{"shed_share", 0.5}},
      {{"exchange", "close_mid_reply"}, {"exchange_share", 0.5}},
      {{"exchange", "duplicate"}},
      {{"exchange", "crossed"}, {"exchange_share", 0.5}},
      {{"exchange", "close_after_execute"}, {"exchange_share", 0.5}},
      {{"frozen", true}},
      {{"oldest", 11}, {"newest", 11}},
      {{"listening", false}, {"close_connections", true}},
  };
  const json Healed = {
      {"latency_ms", 0},    {"latency_share", 1},  {"shed_share", 0},
      {"exchange", "none"}, {"exchange_share", 1}, {"frozen", false},
      {"oldest", 10},       {"newest", 10},        {"listening", true},
  };
  std::mt19937 Engine(Seed);
  surveyDuring([&] {
    for (int Round = 0; Round < 40; ++Round) {
      const std::string Server = absl::StrCat("s", Engine() % Shards, "-",
                                              Engine() % 2 == 0 ? "a" : "b");
      setFaults(Server, Healed);
      if (Engine() % 3 != 0)
        setFaults(Server, Faults[Engine() % Faults.size()]);
      letAnswersCome(4);
    }
  });
  RecordProperty("answered", Answered);
}

TEST_F(Coverage, IsTrueWhileShardsVanishAndJoin) {
  json &Service = Fleet.sheet()["services"][0];
  const json Whole = Service["shards"];
  json Without = Whole;
  Without.erase(1);
  // Written before the callers start, who only read it.
  for (std::uint64_t Epoch = 2; Epoch <= 7; ++Epoch)
    Partitions[Epoch] = Epoch % 2 == 0 ? Without : Whole;
  surveyDuring([&] {
    letAnswersCome(10);
    for (std::uint64_t Epoch = 2; Epoch <= 7; ++Epoch) {
      Service["epoch"] = Epoch;
      Service["shards"] = Partitions[Epoch];
      ASSERT_TRUE(Fleet.backend().post("/sheet", Fleet.sheet()).is_object());
      EXPECT_EQ(Fleet.submitSheet(Epoch % Fleet.size()), "accepted");
      letAnswersCome(20);
      waitInForce(Epoch);
    }
  });
  EXPECT_TRUE(waitUntil([&] {
    const json Last = survey(0);
    return !Last.is_null() && Last["snapshot"]["epoch"] == 7 &&
           Last["coverage"]["complete"] == true;
  }));
  RecordProperty("answered", Answered);
}
