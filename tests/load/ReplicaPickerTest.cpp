#include "load/ReplicaPicker.h"
#include "quetzallead/ShardSpec.h"
#include <gtest/gtest.h>

namespace quetzallead {
namespace {

TEST(ReplicaPickerTest, SpreadsOverTheLeastLoaded) {
  ShardSpec Shard;
  Shard.Servers.resize(3);
  Shard.Servers[0].Name = "a";
  Shard.Servers[1].Name = "b";
  Shard.Servers[2].Name = "c";
  ReplicaPicker Picker;
  EXPECT_EQ(Picker.pick(Shard, 0).Name, "a");
  EXPECT_EQ(Picker.pick(Shard, 0).Name, "b");
  EXPECT_EQ(Picker.pick(Shard, 0).Name, "c");
  Picker.done(Shard.Servers[1]);
  EXPECT_EQ(Picker.pick(Shard, 0).Name, "b");
}

} // namespace
} // namespace quetzallead
