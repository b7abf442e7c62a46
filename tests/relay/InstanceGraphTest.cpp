#include "relay/InstanceGraph.h"
#include <gtest/gtest.h>

using namespace quetzallead;

namespace {

constexpr std::uint64_t Seeds = 60;
constexpr Duration RunTime = absl::Seconds(20);
/// Callers are served again this long after a cut, if a path is left.
constexpr Duration NoticeTime = absl::Seconds(1);
/// A request that nobody can serve is rejected within this time.
constexpr Duration RejectTime = absl::Milliseconds(250);
/// Time until the last requests have been answered.
constexpr Duration LastTime = absl::Seconds(3);

} // namespace

TEST(InstanceGraphTest, RequestsRanTooOftenOrWentAround) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    // In every second run homes cannot pay for what others have begun.
    InstanceGraph Graph(Seed, Seed % 2 == 0 ? 0 : 1000);
    Graph.run(RunTime);
    for (const auto &C : Graph.Calls) {
      for (const auto &[Service, Runs] : C->Runs)
        EXPECT_LE(Runs, C->Idempotent ? C->MaxAttempts : 1)
            << "seed " << Seed << ", " << Service;
      EXPECT_LE(C->Hops, 1) << "seed " << Seed;
      EXPECT_TRUE(!C->Rejected || C->Runs.empty()) << "seed " << Seed;
    }
  }
}

TEST(InstanceGraphTest, RequestsFailedThoughAPathWasLeft) {
  int AllServable = 0;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    InstanceGraph Graph(Seed);
    int Servable = 0;
    int Served = 0;
    Graph.OnAnswered = [&](const InstanceGraph::Call &C) {
      if (C.Arrived - Graph.lastChange() < NoticeTime ||
          !Graph.servable(C.Origin))
        return;
      ++Servable;
      Served += C.Served ? 1 : 0;
    };
    Graph.run(RunTime);
    EXPECT_GE(Served, 0.95 * Servable) << "seed " << Seed;
    AllServable += Servable;
  }
  EXPECT_GT(AllServable, 10000);
}

TEST(InstanceGraphTest, RequestsWereHeldThoughNobodyHadServers) {
  int Hopeless = 0;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    InstanceGraph Graph(Seed);
    Graph.OnAnswered = [&](const InstanceGraph::Call &C) {
      if (C.Arrived - Graph.lastChange() < NoticeTime || !Graph.hopeless())
        return;
      ++Hopeless;
      EXPECT_FALSE(C.Served);
      EXPECT_LE(C.AnsweredAt - C.Arrived, RejectTime)
          << "seed " << Seed << ", " << C.Arrived;
    };
    Graph.run(RunTime);
    Graph.CutsChange = false;
    Graph.run(LastTime);
    for (const auto &C : Graph.Calls)
      EXPECT_TRUE(C->Answered || C->Arrived >= Graph.now() - LastTime)
          << "seed " << Seed;
  }
  EXPECT_GT(Hopeless, 1000);
}
