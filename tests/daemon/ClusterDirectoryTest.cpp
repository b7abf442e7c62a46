#include "daemon/ClusterDirectory.h"
#include <gtest/gtest.h>

using namespace quetzallead;

namespace {

const TimePoint Now = absl::UnixEpoch() + absl::Hours(1);

Sheet sheetOf(std::uint64_t Epoch) {
  BackendServerSpec Server;
  Server.Name = "server";
  Server.Zone = "a";
  Server.Address = "127.0.0.1:1";
  Server.ConnectionLimit = 40;
  ShardSpec Low{"low", "", "m", {Server}};
  Server.Name = "server2";
  ShardSpec High{"high", "m", "", {Server}};
  ServiceSpec Service;
  Service.Name = "register";
  Service.Epoch = Epoch;
  Service.Shards = {Low, High};
  Sheet S;
  S.Services = {Service};
  return S;
}

} // namespace

TEST(ClusterDirectoryTest, NeverGoesToALowerRevision) {
  ClusterDirectory Directory((Settings()));
  Directory.applySheet(sheetOf(1), 5, Now);
  Sheet Older;
  Directory.applySheet(Older, 4, Now);
  EXPECT_EQ(Directory.view()->Revision, 5u);
  EXPECT_NE(Directory.view()->service("register"), nullptr);
}

TEST(ClusterDirectoryTest, KeepsWhatWasLearnedWithinAnEpoch) {
  ClusterDirectory Directory((Settings()));
  Directory.applySheet(sheetOf(1), 1, Now);
  auto Before = Directory.view()->service("register");
  Directory.applySheet(sheetOf(1), 2, Now);
  auto Same = Directory.view()->service("register");
  EXPECT_EQ(Before->Shards[0], Same->Shards[0]);
  Directory.applySheet(sheetOf(2), 3, Now);
  auto Other = Directory.view()->service("register");
  EXPECT_NE(Same->Shards[0], Other->Shards[0]);
  EXPECT_EQ(Same->Stats, Other->Stats);
}

TEST(ClusterDirectoryTest, SharesConnectionsByTheNumberOfInstances) {
  ClusterDirectory Directory((Settings()));
  Directory.applySheet(sheetOf(1), 1, Now);
  Directory.applyInstanceCount(9, Now);
  auto Set = Directory.view()->service("register")->Shards[0];
  EXPECT_LE(Set->belief(0).Limit, 4);
}

TEST(ClusterDirectoryTest, FindsTheShardOfAKey) {
  ClusterDirectory Directory((Settings()));
  Directory.applySheet(sheetOf(1), 1, Now);
  auto Service = Directory.view()->service("register");
  EXPECT_EQ(Service->shardOf("a"), 0u);
  EXPECT_EQ(Service->shardOf("m"), 1u);
  EXPECT_EQ(Service->shardOf("z"), 1u);
  EXPECT_EQ(Service->shardNamed("high"), 1u);
  EXPECT_EQ(Service->shardNamed("none"), 2u);
}
