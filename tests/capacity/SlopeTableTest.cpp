#include "capacity/SlopeTable.h"
#include <gtest/gtest.h>

namespace quetzallead {
namespace {

TEST(SlopeTableTest, ReadsSlopes) {
  const auto Read = capture([] {
    return parseSlopes(R"({"slopes": [ // one
      {"name": "x", "value": 2.5, "unit": "us", "status": "measured",
       "measured_up_to": 100, "command": "c", "commit": "abc"}]})");
  });
  const auto &Slopes = std::get<SlopeTable>(Read);
  EXPECT_EQ(Slopes.find("x").Value, 2.5);
  EXPECT_EQ(Slopes.find("x").MeasuredUpTo, 100);
  EXPECT_EQ(Slopes.find("y").Status, SlopeStatus::Missing);
}

TEST(SlopeTableTest, MeasuredSlopeNamesItsRun) {
  const auto Read = capture([] {
    return parseSlopes(R"({"slopes": [
      {"name": "x", "value": 1, "unit": "us", "status": "measured"}]})");
  });
  ASSERT_TRUE(std::holds_alternative<Error>(Read));
  EXPECT_EQ(std::get<Error>(Read).Where, "slopes[0]");
}

} // namespace
} // namespace quetzallead
