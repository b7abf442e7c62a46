#include "capacity/CapacityPage.h"
#include "capacity/CapacityModel.h"
#include "capacity/FleetSize.h"
#include "capacity/SlopeTable.h"
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

namespace quetzallead {
namespace {

std::string readSource(const std::string &Path) {
  std::ifstream File(std::string(QUETZALLEAD_SOURCE_DIR) + "/" + Path);
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

TEST(CapacityPageTest, PageCarriesTheWorkedOutTables) {
  const std::string Text = readSource("tools/capacity/slopes.json");
  const auto Read = capture([&] { return parseSlopes(Text); });
  ASSERT_TRUE(std::holds_alternative<SlopeTable>(Read));
  const auto &Slopes = std::get<SlopeTable>(Read);
  const FleetSize Size;
  const std::string Page = readSource("docs/CAPACITY.md");
  const std::size_t Start = Page.find(CapacityTablesHeading);
  ASSERT_NE(Start, std::string::npos);
  EXPECT_EQ(Page.substr(Start),
            formatCapacityTables(makeCapacityRows(Size, Slopes),
                                 makeControlCost(Size, Slopes), Slopes));
}

} // namespace
} // namespace quetzallead
