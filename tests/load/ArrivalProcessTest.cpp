#include "load/ArrivalProcess.h"
#include "load/LoadPlan.h"
#include <algorithm>
#include <gtest/gtest.h>

namespace quetzallead {
namespace {

LoadPlan makePlan() {
  LoadPlan Plan;
  Plan.Seed = 11;
  Plan.Length = absl::Seconds(100);
  Plan.Streams.resize(2);
  Plan.Streams[0].Rate = 100;
  Plan.Streams[1].Rate = 20;
  Plan.Phases.push_back(LoadPhase{absl::Seconds(50), absl::Seconds(60), 4});
  return Plan;
}

std::size_t countIn(const std::vector<Arrival> &Arrivals, std::size_t Stream,
                    Duration From, Duration To) {
  return std::count_if(
      Arrivals.begin(), Arrivals.end(), [&](const Arrival &Next) {
        return Next.Stream == Stream && Next.Offset >= From && Next.Offset < To;
      });
}

TEST(ArrivalProcessTest, SamePlanGivesSameArrivals) {
  const auto First = makeArrivals(makePlan());
  const auto Second = makeArrivals(makePlan());
  ASSERT_EQ(First.size(), Second.size());
  for (std::size_t I = 0; I < First.size(); ++I) {
    EXPECT_EQ(First[I].Offset, Second[I].Offset);
    EXPECT_EQ(First[I].Draw, Second[I].Draw);
    EXPECT_EQ(First[I].Sequence, I);
  }
  LoadPlan Other = makePlan();
  Other.Seed = 12;
  EXPECT_NE(makeArrivals(Other).front().Draw, First.front().Draw);
}

// Four standard deviations of a Poisson count each way; the seed is fixed.
TEST(ArrivalProcessTest, FollowsRatesAndPhases) {
  const auto Arrivals = makeArrivals(makePlan());
  const auto Even = countIn(Arrivals, 0, absl::Seconds(0), absl::Seconds(50));
  const auto Burst = countIn(Arrivals, 0, absl::Seconds(50), absl::Seconds(60));
  const auto Slow = countIn(Arrivals, 1, absl::Seconds(0), absl::Seconds(50));
  EXPECT_NEAR(Even, 5000, 283);
  EXPECT_NEAR(Burst, 4000, 253);
  EXPECT_NEAR(Slow, 1000, 127);
}

} // namespace
} // namespace quetzallead
