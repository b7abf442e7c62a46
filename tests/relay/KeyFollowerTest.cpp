#include "relay/KeyFollower.h"
#include "relay/ScriptedStore.h"
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

using namespace quetzallead;

namespace {

class KeyFollowerTest : public testing::Test {
protected:
  KeyFollowerTest()
      : Timers(Loop), Follower(Store, Timers, options(), handlers()) {
    Follower.start();
  }

  static FollowOptions options() {
    FollowOptions Options;
    Options.Prefix = "p/";
    return Options;
  }

  FollowHandlers handlers() {
    FollowHandlers Handlers;
    Handlers.OnAll = [this](const std::vector<StoreItem> &Items,
                            std::uint64_t Revision) {
      ++Readings;
      All = Items;
      AllRevision = Revision;
    };
    Handlers.OnChanges = [this](const std::vector<StoreItem> &Items) {
      for (const StoreItem &Item : Items)
        Changed.push_back(Item.Key);
    };
    Handlers.OnLost = [this](StoreOutcome) { ++LostCount; };
    Handlers.OnBack = [this] { ++BackCount; };
    return Handlers;
  }

  /// Runs the loop until the store has received \p Count calls.
  void awaitCalls(std::size_t Count) {
    Loop.restart();
    while (Store.Calls.size() < Count && Loop.run_one() > 0)
      ;
    ASSERT_EQ(Store.Calls.size(), Count);
  }

  static StoreItem item(const std::string &Key, std::uint64_t Revision) {
    return StoreItem{Key, "value", Revision, false};
  }

  boost::asio::io_context Loop;
  LoopTimers Timers;
  ScriptedStore Store;
  KeyFollower Follower;
  std::vector<StoreItem> All;
  std::uint64_t AllRevision = 0;
  std::vector<std::string> Changed;
  int Readings = 0;
  int LostCount = 0;
  int BackCount = 0;
};

TEST_F(KeyFollowerTest, WatchesFromTheRevisionOfTheFirstPage) {
  Store.page(StoreOutcome::Done, {item("p/a", 3)}, 7, true);
  ASSERT_EQ(Store.Calls.size(), 2u);
  EXPECT_EQ(Store.Calls[1].Key, "p/a");
  Store.page(StoreOutcome::Done, {item("p/b", 9)}, 9);
  EXPECT_EQ(All.size(), 2u);
  EXPECT_EQ(AllRevision, 7u);
  ASSERT_EQ(Store.Calls.size(), 3u);
  EXPECT_EQ(Store.Calls[2].What, "watch");
  EXPECT_EQ(Store.Calls[2].Revision, 7u);
}

TEST_F(KeyFollowerTest, ReadsAgainWhenHistoryIsGone) {
  Store.page(StoreOutcome::Done, {}, 7);
  Store.page(StoreOutcome::HistoryGone);
  ASSERT_EQ(Store.Calls.size(), 3u);
  EXPECT_EQ(Store.Calls[2].What, "read");
}

// A store that drops history while it cuts its watches lets a new watch from
// before the drop wait until the prefix changes again.
TEST_F(KeyFollowerTest, ReadsAgainWhenAWatchIsCut) {
  Store.page(StoreOutcome::Done, {item("p/a", 3)}, 7);
  Store.page(StoreOutcome::Unknown);
  EXPECT_EQ(LostCount, 1);
  awaitCalls(3);
  EXPECT_EQ(Store.Calls[2].What, "read");
  Store.page(StoreOutcome::Done, {item("p/a", 8)}, 8);
  EXPECT_EQ(BackCount, 1);
  ASSERT_EQ(All.size(), 1u);
  EXPECT_EQ(All[0].Revision, 8u);
}

// Two instances read in the moment in which the store dropped its history, and
// their watches heard nothing for the whole of their wait.
TEST_F(KeyFollowerTest, FirstWatchBehindAReadingIsShort) {
  Store.page(StoreOutcome::Done, {}, 7);
  EXPECT_LE(Store.Calls.back().Wait, absl::Seconds(1));
  Store.page(StoreOutcome::Done, {}, 7);
  EXPECT_EQ(Store.Calls.back().Wait, FollowOptions().WatchWait);
  Store.page(StoreOutcome::HistoryGone);
  Store.page(StoreOutcome::Done, {}, 9);
  EXPECT_LE(Store.Calls.back().Wait, absl::Seconds(1));
}

TEST_F(KeyFollowerTest, StaysCompleteWhileTheStoreIsAway) {
  EXPECT_FALSE(Follower.everComplete());
  Store.page(StoreOutcome::Refused);
  EXPECT_FALSE(Follower.everComplete());
  awaitCalls(2);
  Store.page(StoreOutcome::Done, {}, 7);
  EXPECT_TRUE(Follower.everComplete());
  Store.page(StoreOutcome::Refused);
  awaitCalls(4);
  Store.page(StoreOutcome::Refused);
  EXPECT_TRUE(Follower.everComplete());
  EXPECT_EQ(LostCount, 2);
}

TEST_F(KeyFollowerTest, GoesOnFromTheRevisionOfTheChanges) {
  Store.page(StoreOutcome::Done, {}, 7);
  Store.page(StoreOutcome::Done, {item("p/a", 12)}, 15);
  EXPECT_EQ(Changed, std::vector<std::string>{"p/a"});
  ASSERT_EQ(Store.Calls.size(), 3u);
  EXPECT_EQ(Store.Calls[2].Revision, 15u);
}

} // namespace
