#include "capacity/Estimate.h"
#include "capacity/Slope.h"
#include <gtest/gtest.h>

namespace quetzallead {
namespace {

Slope makeSlope(double Value, double MeasuredUpTo) {
  Slope Made;
  Made.Name = "x";
  Made.Value = Value;
  Made.Status = SlopeStatus::Measured;
  Made.MeasuredUpTo = MeasuredUpTo;
  return Made;
}

TEST(EstimateTest, SaysHowFarItIsExtrapolated) {
  EXPECT_EQ(times(makeSlope(2, 100), 10, 950).Reach, 9.5);
  EXPECT_EQ(times(makeSlope(2, 950), 10, 950).Reach, 1);
  EXPECT_EQ(times(makeSlope(2, 950), 10, 50).Reach, 1);
  EXPECT_EQ(times(makeSlope(2, 0), 10).Value, 20);
}

TEST(EstimateTest, MissingSlopeGivesNoValue) {
  const Estimate Unknown = times(Slope{}, 10);
  EXPECT_FALSE(Unknown.Value);
  EXPECT_FALSE(plus(exactly(1), Unknown).Value);
  EXPECT_FALSE(scaled(Unknown, 2).Value);
}

TEST(EstimateTest, SumRestsOnBoth) {
  const Estimate Sum =
      plus(times(makeSlope(2, 100), 3, 200), times(makeSlope(1, 100), 4, 400));
  EXPECT_EQ(Sum.Value, 10);
  EXPECT_EQ(Sum.Reach, 4);
  EXPECT_EQ(Sum.Slopes.size(), 2U);
}

} // namespace
} // namespace quetzallead
