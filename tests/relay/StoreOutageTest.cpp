#include "relay/RelayWithStore.h"

using namespace quetzallead;

namespace {

class StoreOutageTest : public RelayWithStore {};

} // namespace

// The store loses the response to a watch and is well again before the server
// leaves.
TEST_F(StoreOutageTest, LostWatchResponseDoesNotHideALeavingServer) {
  await([&] { return ask() == 200; });
  await([&] { return Store.watched("servers/"); });
  // Ends the first watch, which is a short one.
  putServer("i-2", "draining");
  await([&] { return !Store.watched("servers/"); });
  await([&] { return Store.watched("servers/"); });
  Store.setSilent(true);
  putServer("i-2", "draining");
  absl::SleepFor(absl::Milliseconds(50));
  Store.setSilent(false);
  putServer("i-1", "draining");
  absl::SleepFor(LeavingTime);
  EXPECT_EQ(ask(), 503u);
}

TEST_F(StoreOutageTest, LostWatchResponseDoesNotHideASheet) {
  await([&] { return ask() == 200; });
  await([&] { return Store.watched("op/"); });
  // Ends the first watch, which is a short one.
  Store.put("op/config", sheet(4, "/"));
  await([&] { return !Store.watched("op/"); });
  await([&] { return Store.watched("op/"); });
  Store.setSilent(true);
  Store.put("op/config", sheet(5, "/"));
  absl::SleepFor(absl::Milliseconds(50));
  Store.setSilent(false);
  Store.put("op/config", sheet(6, "/b"));
  absl::SleepFor(LeavingTime);
  EXPECT_EQ(ask(), 404u);
}
