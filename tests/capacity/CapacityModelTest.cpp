#include "capacity/CapacityModel.h"
#include "capacity/FleetSize.h"
#include "capacity/SlopeTable.h"
#include <gtest/gtest.h>

namespace quetzallead {
namespace {

const CapacityRow *find(const std::vector<CapacityRow> &Rows,
                        const std::string &Quantity) {
  for (const CapacityRow &Row : Rows)
    if (Row.Quantity == Quantity)
      return &Row;
  return nullptr;
}

TEST(CapacityModelTest, ArithmeticAtTheStatedSize) {
  const auto Rows = makeCapacityRows(FleetSize(), SlopeTable({}));
  EXPECT_NEAR(*find(Rows, "messages: queries")->Figure.Value, 147.4, 0.1);
  EXPECT_NEAR(*find(Rows, "messages: sub-requests")->Figure.Value, 11052, 1);
  EXPECT_NEAR(*find(Rows, "messages: watches, fleet, quiet")->Figure.Value, 4.8,
              1e-9);
  EXPECT_EQ(
      *find(Rows, "state: most instances with direct connections, limit 25")
           ->Figure.Value,
      22);
  EXPECT_NEAR(*find(Rows, "state: connections per home and shard, limit 25")
                   ->Figure.Value,
              220 * 25 / 1.1 / 47.5 / 75, 1e-9);
  EXPECT_FALSE(find(Rows, "processor: requests")->Figure.Value);
}

TEST(CapacityModelTest, ControlCostAddsItsParts) {
  auto Measured = [](const char *Name, double Value) {
    Slope Made;
    Made.Name = Name;
    Made.Value = Value;
    Made.Status = SlopeStatus::Measured;
    return Made;
  };
  const SlopeTable Slopes(
      {Measured("gossip_bytes", 5), Measured("gossip_processor", 2),
       Measured("member_memory", 1000), Measured("sheet_memory", 500),
       Measured("sheet_text", 0), Measured("server_state_memory", 1000),
       Measured("sheet_switch_processor", 0)});
  const ControlCost Cost = makeControlCost(FleetSize(), Slopes);
  EXPECT_DOUBLE_EQ(*Cost.KilobytesPerSecond.Value, 4.75);
  EXPECT_DOUBLE_EQ(*Cost.ProcessorPercent.Value, 0.19);
  EXPECT_DOUBLE_EQ(*Cost.MemoryMegabytes.Value, 0.95 + 2.2 + 4.4);
}

} // namespace
} // namespace quetzallead
