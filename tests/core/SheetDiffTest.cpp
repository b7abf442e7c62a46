#include "quetzallead/SheetDiff.h"
#include "ArbitrarySheet.h"
#include "quetzallead/SheetChange.h"
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace quetzallead;

static Sheet small() {
  BackendServerSpec Server;
  Server.Name = "x";
  Server.Zone = "a";
  Server.Address = "127.0.0.1:21000";
  ServiceSpec Service;
  Service.Name = "s";
  Service.Shards = {ShardSpec{"s0", "", "", {Server}}};
  return Sheet{"d", {"a"}, {Service}};
}

TEST(SheetDiffTest, NamesTheChangedField) {
  Sheet After = small();
  After.Services[0].Shards[0].Servers[0].Slots = 4;
  std::vector<SheetChange> Changes = diffSheets(small(), After);
  ASSERT_EQ(Changes.size(), 1u);
  EXPECT_EQ(Changes[0].text(),
            "~ services[s].shards[s0].servers[x].slots: 1 -> 4");
}

TEST(SheetDiffTest, NamesAddedAndRemovedElements) {
  Sheet After = small();
  After.Services[0].Shards[0].Servers[0].Name = "y";
  std::vector<SheetChange> Changes = diffSheets(small(), After);
  ASSERT_EQ(Changes.size(), 2u);
  EXPECT_EQ(Changes[0].text(), "+ services[s].shards[s0].servers[y]");
  EXPECT_EQ(Changes[1].text(), "- services[s].shards[s0].servers[x]");
}

RC_GTEST_PROP(SheetDiffTest, EmptyIfAndOnlyIfEqual, ()) {
  Sheet A = *arbitrarySheet();
  Sheet B = *arbitrarySheet();
  RC_ASSERT(diffSheets(A, A).empty());
  RC_ASSERT(diffSheets(A, B).empty() == (A == B));
}
