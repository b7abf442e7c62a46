#include "relay/LoopSteps.h"
#include "absl/time/clock.h"
#include <gtest/gtest.h>
#include <vector>

using namespace quetzallead;

TEST(LoopStepsTest, ReportsEachLongStepWithItsTask) {
  LoopSteps Steps;
  std::vector<LoopTask> Reported;
  Steps.OnLongStep = [&](LoopTask Task, Duration Time) {
    EXPECT_GT(Time, LoopSteps::MaxStep);
    Reported.push_back(Task);
  };
  for (LoopTask Task : {LoopTask::Sheet, LoopTask::Servers}) {
    const auto Step = Steps.begin(Task);
    absl::SleepFor(LoopSteps::MaxStep * 2);
  }
  EXPECT_EQ(Reported,
            (std::vector<LoopTask>{LoopTask::Sheet, LoopTask::Servers}));
}

TEST(LoopStepsTest, MostShortStepsAreNotReported) {
  LoopSteps Steps;
  int Reported = 0;
  Steps.OnLongStep = [&](LoopTask, Duration) { ++Reported; };
  constexpr int Short = 100;
  for (int I = 0; I < Short; ++I)
    const auto Step = Steps.begin(LoopTask::Request);
  // The test itself may be kept off the processor during a few of them.
  EXPECT_LT(Reported, Short / 2);
}
