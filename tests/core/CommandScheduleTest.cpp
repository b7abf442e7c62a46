#include "CommandWorld.h"
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace quetzallead {
namespace {

constexpr int Steps = 600;

RC_GTEST_PROP(CommandScheduleTest, NoCommandRunsTwiceAndNotRunIsTrue,
              (std::uint32_t Seed)) {
  CommandWorld World(Seed);
  for (int I = 0; I < Steps; ++I)
    World.step();
  World.settle();
  for (const std::string &Violation : World.violations())
    RC_FAIL(Violation);
}

TEST(CommandScheduleTest, SchedulesReachWhatTheyAreMeantToTest) {
  int Answers = 0;
  int Unknown = 0;
  int Executions = 0;
  for (std::uint32_t Seed = 1; Seed <= 100; ++Seed) {
    CommandWorld World(Seed);
    for (int I = 0; I < Steps; ++I)
      World.step();
    World.settle();
    Answers += World.Answers;
    Unknown += World.Unknown;
    Executions += World.Executions;
  }
  RecordProperty("answers", Answers);
  RecordProperty("unknown", Unknown);
  RecordProperty("executions", Executions);
  EXPECT_GT(Executions, 1000);
  EXPECT_GT(Unknown, 0);
  EXPECT_GT(Answers, Unknown);
}

} // namespace
} // namespace quetzallead
