#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "support/ChildProcess.h"
#include "support/FakeProcess.h"
#include "support/Fetch.h"
#include "support/SheetOperator.h"
#include "support/TestDaemon.h"
#include "support/TestFleet.h"
#include "support/WaitUntil.h"
#include <algorithm>
#include <atomic>
#include <gtest/gtest.h>
#include <thread>

using namespace quetzallead;
using nlohmann::json;

namespace {

/// Time within which an accepted sheet is in force at all that can be reached.
constexpr Duration InForceLimit = absl::Seconds(8);

/// Three instances under changes of the sheet, watched all the time for one
/// that goes back.
class InForce : public testing::Test {
protected:
  InForce() : Fleet(options()) {}

  static TestFleetOptions options() {
    TestFleetOptions Options;
    Options.Shape.Shards = 1;
    return Options;
  }

  void SetUp() override {
    ASSERT_TRUE(Fleet.start()) << Fleet.problem();
    Accepted = 1;
    Watcher = std::thread([this] { watch(); });
  }

  void TearDown() override {
    Stop = true;
    if (Watcher.joinable())
      Watcher.join();
    RecordProperty("slowest_in_force_ms",
                   static_cast<int>(absl::ToInt64Milliseconds(Slowest)));
  }

  std::uint64_t revisionAt(std::size_t Index) {
    return Operator.revisionAt(Index);
  }

  /// Reads revisions over and over. An instance that governs by one, also one
  /// that was replaced, does not go below what it or its name showed before.
  void watch() {
    std::vector<std::uint64_t> Seen(Fleet.size(), 0);
    while (!Stop) {
      for (std::size_t Index = 0; Index < Fleet.size(); ++Index) {
        if (Silent[Index])
          continue;
        const std::uint64_t Revision = revisionAt(Index);
        if (Revision == 0)
          continue;
        EXPECT_GE(Revision, Seen[Index]) << "instance " << Index;
        Seen[Index] = Revision;
      }
      absl::SleepFor(absl::Milliseconds(5));
    }
  }

  TestSheetChange makeChange(std::uint64_t Base) { return Operator.make(Base); }

  SheetVerdict submit(std::size_t Index, const TestSheetChange &Change) {
    return Operator.submit(Index, Change);
  }

  SheetVerdict settle(std::size_t Index, const TestSheetChange &Change) {
    return Operator.settle(Index, Change);
  }

  void expectInForce(const std::vector<std::size_t> &Instances,
                     std::uint64_t Revision) {
    const TimePoint Start = absl::Now();
    EXPECT_TRUE(waitUntil(
        [&] {
          return std::all_of(
              Instances.begin(), Instances.end(),
              [&](std::size_t I) { return revisionAt(I) >= Revision; });
        },
        InForceLimit))
        << "revision " << Revision << "\n"
        << Fleet.logs();
    Slowest = std::max(Slowest, absl::Now() - Start);
  }

  /// Submits one change and expects that it is accepted and soon in force.
  void change(std::size_t Index) {
    const SheetVerdict Told = settle(Index, makeChange(Accepted));
    ASSERT_EQ(Told.Outcome, "accepted") << Fleet.logs();
    Accepted = Told.Revision;
  }

  int auditedAt(std::size_t Index, const std::string &Id) {
    return Operator.auditedAt(Index, Id);
  }

  void setPlatform(const json &Faults) {
    ASSERT_TRUE(Fleet.platform().post("/faults", Faults).is_object());
  }

  bool ready(std::size_t Index) {
    const auto Answer = Fleet.admin(Index, "GET", "/readyz");
    return Answer && Answer->Status == 200;
  }

  /// The watcher does not ask a paused instance.
  void pause(std::size_t Index) {
    Silent[Index] = true;
    Fleet.daemon(Index).Process->pause();
  }
  void resume(std::size_t Index) {
    Fleet.daemon(Index).Process->resume();
    Silent[Index] = false;
  }

  TestFleet Fleet;
  std::uint64_t Accepted = 0;
  SheetOperator Operator{Fleet};
  Duration Slowest = absl::ZeroDuration();
  std::atomic<bool> Stop{false};
  std::atomic<bool> Silent[3] = {{false}, {false}, {false}};
  std::thread Watcher;
};

} // namespace

TEST_F(InForce, EverywhereWhicheverInstanceAccepts) {
  for (std::size_t Round = 0; Round < 6; ++Round) {
    change(Round % Fleet.size());
    expectInForce({0, 1, 2}, Accepted);
  }
}

TEST_F(InForce, WhenTheStoresAnswerIsLostAfterTheWrite) {
  for (std::size_t Index = 0; Index < Fleet.size(); ++Index) {
    setPlatform({{"lose_write_answers", 1}});
    const TestSheetChange What = makeChange(Accepted);
    const SheetVerdict First = submit(Index, What);
    EXPECT_TRUE(First.Outcome == "accepted" || First.Outcome == "unknown")
        << First.Outcome;
    // Submitted again, at another instance, it is found and not repeated.
    const SheetVerdict Again = settle((Index + 1) % Fleet.size(), What);
    EXPECT_EQ(Again.Outcome, "accepted");
    EXPECT_EQ(Again.Revision, Accepted + 1);
    Accepted = Again.Revision;
    expectInForce({0, 1, 2}, Accepted);
    for (std::size_t At = 0; At < Fleet.size(); ++At)
      EXPECT_EQ(auditedAt(At, What.Id), 1);
  }
}

TEST_F(InForce, WhileTheStoreIsDownForLong) {
  change(0);
  expectInForce({0, 1, 2}, Accepted);
  for (const char *Outage : {"refuse", "error", "hang"}) {
    setPlatform({{"outage", Outage}});
    const TestSheetChange What = makeChange(Accepted);
    const SheetVerdict Told = submit(1, What);
    EXPECT_TRUE(Told.Outcome == "unavailable" || Told.Outcome == "unknown")
        << Told.Outcome;
    for (std::size_t Index = 0; Index < Fleet.size(); ++Index) {
      EXPECT_EQ(revisionAt(Index), Accepted);
      const auto Lookup = Fleet.ask(Index, "lookup", {{"key", "a1"}});
      EXPECT_TRUE(Lookup && Lookup->Status == 200);
    }
    setPlatform({{"outage", "none"}});
    const SheetVerdict Settled = settle(2, What);
    EXPECT_EQ(Settled.Outcome, "accepted");
    Accepted = Settled.Revision;
    expectInForce({0, 1, 2}, Accepted);
    EXPECT_EQ(auditedAt(0, What.Id), 1);
  }
}

TEST_F(InForce, WhenTheStoreComesBackOlder) {
  change(0);
  ASSERT_TRUE(Fleet.platform().post("/snapshot", json::object()).is_object());
  change(1);
  change(2);
  expectInForce({0, 1, 2}, Accepted);
  ASSERT_TRUE(Fleet.platform().post("/restore", json::object()).is_object());
  EXPECT_TRUE(waitUntil([this] {
    return absl::StrContains(Fleet.logs(), "event=sheet_store_older");
  })) << Fleet.logs();
  for (std::size_t Index = 0; Index < Fleet.size(); ++Index)
    EXPECT_EQ(revisionAt(Index), Accepted);
  // All that held it in memory are gone, so it is what the store holds.
  for (std::size_t Index = 0; Index < Fleet.size(); ++Index) {
    Fleet.daemon(Index).Process->kill();
    Fleet.daemon(Index).Process->wait(GenerousLimit);
  }
  ASSERT_TRUE(Fleet.startDaemon(0)) << Fleet.logs();
  EXPECT_EQ(revisionAt(0), Accepted);
  const SheetVerdict Told = settle(0, makeChange(Accepted));
  EXPECT_EQ(Told.Outcome, "accepted");
  EXPECT_EQ(Told.Revision, Accepted + 1);
}

TEST_F(InForce, AtReplacedInstancesWhileTheStoreIsDown) {
  change(0);
  expectInForce({0, 1, 2}, Accepted);
  for (const char *Outage : {"refuse", "hang"}) {
    setPlatform({{"outage", Outage}});
    for (std::size_t Index = 0; Index < Fleet.size(); ++Index) {
      Fleet.daemon(Index).Process->kill();
      Fleet.daemon(Index).Process->wait(GenerousLimit);
      ASSERT_TRUE(Fleet.startDaemon(Index)) << Fleet.logs();
      EXPECT_EQ(revisionAt(Index), Accepted);
    }
    setPlatform({{"outage", "none"}});
    change(0);
    expectInForce({0, 1, 2}, Accepted);
  }
}

TEST_F(InForce, BeforeAFreshInstanceIsReady) {
  change(0);
  expectInForce({0, 1, 2}, Accepted);
  setPlatform({{"outage", "refuse"}});
  Fleet.daemon(2).Process->kill();
  Fleet.daemon(2).Process->wait(GenerousLimit);
  pause(0);
  pause(1);
  ASSERT_TRUE(Fleet.launchDaemon(2)) << Fleet.logs();
  for (int I = 0; I < 20; ++I) {
    EXPECT_FALSE(ready(2));
    const auto Refused = Fleet.ask(2, "lookup", {{"key", "a1"}});
    ASSERT_TRUE(Refused);
    EXPECT_EQ(Refused->Status, 503);
    EXPECT_EQ(bodyOf(*Refused).value("run_state", ""), "not_run");
  }
  resume(0);
  resume(1);
  ASSERT_TRUE(Fleet.waitReady(2)) << Fleet.logs();
  EXPECT_EQ(revisionAt(2), Accepted);
}

TEST_F(InForce, OfOneOperatorWhenTwoRace) {
  for (int Round = 0; Round < 6; ++Round) {
    std::vector<TestSheetChange> Racing;
    std::vector<SheetVerdict> Told(Fleet.size());
    for (std::size_t I = 0; I < Fleet.size(); ++I)
      Racing.push_back(makeChange(Accepted));
    std::vector<std::thread> Submitters;
    for (std::size_t I = 0; I < Fleet.size(); ++I)
      Submitters.emplace_back([&, I] { Told[I] = submit(I, Racing[I]); });
    for (std::thread &Submitter : Submitters)
      Submitter.join();
    int Winners = 0;
    for (std::size_t I = 0; I < Fleet.size(); ++I) {
      const bool Won = Told[I].Outcome == "accepted";
      Winners += Won ? 1 : 0;
      if (!Won) {
        EXPECT_EQ(Told[I].Outcome, "conflict");
      }
    }
    EXPECT_EQ(Winners, 1);
    ++Accepted;
    expectInForce({0, 1, 2}, Accepted);
    for (std::size_t I = 0; I < Fleet.size(); ++I)
      EXPECT_EQ(auditedAt(0, Racing[I].Id), Told[I].Outcome == "accepted");
  }
}

TEST_F(InForce, WhenTheAcceptingInstanceIsPausedMeanwhile) {
  setPlatform({{"slow_ms", 150}});
  const TestSheetChange Old = makeChange(Accepted);
  SheetVerdict Told;
  std::thread Submitter([&] { Told = submit(0, Old); });
  EXPECT_TRUE(waitUntil([this] {
    return Fleet.platform().get("/counters").value("kv_read", 0) > 0;
  }));
  pause(0);
  setPlatform({{"slow_ms", 0}});
  // Another change comes first, unless the paused one's write was under way.
  const SheetVerdict Other = settle(1, makeChange(Accepted));
  resume(0);
  Submitter.join();
  if (Told.Outcome == "unknown" || Told.Outcome == "unavailable")
    Told = settle(0, Old);
  const int Winners =
      (Told.Outcome == "accepted") + (Other.Outcome == "accepted");
  EXPECT_EQ(Winners, 1) << Told.Outcome << " and " << Other.Outcome;
  ++Accepted;
  expectInForce({0, 1, 2}, Accepted);
  EXPECT_EQ(auditedAt(2, Old.Id), Told.Outcome == "accepted");
  change(0);
  expectInForce({0, 1, 2}, Accepted);
}

TEST_F(InForce, AtAnInstanceThatWasPausedMeanwhile) {
  pause(2);
  change(0);
  expectInForce({0, 1}, Accepted);
  change(1);
  expectInForce({0, 1}, Accepted);
  resume(2);
  expectInForce({2}, Accepted);
}
