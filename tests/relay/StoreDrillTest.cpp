#include "relay/RelayWithStore.h"

using namespace quetzallead;

namespace {

/// More than the time from a change in the store to its effect.
constexpr Duration StoreDelay = absl::Milliseconds(1600);

class StoreDrillTest : public RelayWithStore {
protected:
  StoreDrillTest() {
    await([&] { return ask() == 200; });
    putServer("i-1", "draining");
    absl::SleepFor(StoreDelay);
  }

  /// Expects that no request reaches the second server within \p Time.
  void expectNotAsked(Duration Time) {
    const int Before = Second.Requests;
    for (const absl::Time End = absl::Now() + Time; absl::Now() < End;) {
      ask();
      absl::SleepFor(absl::Milliseconds(50));
    }
    EXPECT_EQ(Second.Requests, Before);
  }
  void putSecond(const std::string &State) {
    putServer("i-2", State, Second, 1);
  }
};

class StoreDrillHeaderTest : public StoreDrillTest,
                             public testing::WithParamInterface<const char *> {
};

} // namespace

// A server that had registered after the copy was made, and drained later, was
// used on: its entry had a lower revision than before.
TEST_F(StoreDrillTest, DrainAfterADrillOfTheStoreWentUnnoticed) {
  const auto Copy = Store.copy();
  for (int I = 0; I < 4; ++I)
    putSecond("ready");
  await([&] { return ask() == 200; });
  Store.restore(*Copy);
  putSecond("ready");
  absl::SleepFor(StoreDelay + absl::Seconds(1));
  EXPECT_EQ(ask(), 200u);
  putSecond("draining");
  absl::SleepFor(StoreDelay + absl::Seconds(1));
  expectNotAsked(absl::Milliseconds(300));
}

// The revision that the watch starts from was given out again before it
// noticed.
TEST_F(StoreDrillTest, ChangesUnderRevisionsThatWereGivenOutAgainWereMissed) {
  const auto Copy = Store.copy();
  putSecond("ready");
  await([&] { return ask() == 200; });
  absl::SleepFor(StoreDelay);
  const std::uint64_t Known = Store.revision();
  Store.restore(*Copy);
  putSecond("draining");
  while (Store.revision() < Known + 3)
    Store.put("other/x", "1");
  absl::SleepFor(absl::Seconds(3));
  expectNotAsked(absl::Milliseconds(300));
}

TEST_F(StoreDrillTest, CopyDoesNotRevokeADrain) {
  putSecond("ready");
  await([&] { return ask() == 200; });
  const auto Copy = Store.copy();
  putSecond("draining");
  absl::SleepFor(StoreDelay);
  for (int Drill = 0; Drill < 2; ++Drill) {
    Store.restore(*Copy);
    expectNotAsked(absl::Seconds(3));
  }
}

TEST_F(StoreDrillTest, ServerThatWasGoneIsUsedOnceItRegistersAgain) {
  putSecond("ready");
  await([&] { return ask() == 200; });
  const auto Copy = Store.copy();
  Store.remove("servers/i-2");
  absl::SleepFor(StoreDelay + LeavingTime);
  Store.restore(*Copy);
  expectNotAsked(absl::Seconds(3));
  putSecond("ready");
  await([&] { return ask() == 200; });
}

TEST_F(StoreDrillTest, SheetAndServersThatTheCopyLacksAreKept) {
  const auto Copy = Store.copy();
  putSecond("ready");
  Store.put("op/config", sheet(9, "/new/"));
  // The older sheet serves the path too, but not this one alone.
  await([&] { return ask("/a", CallerPort) == 404; });
  await([&] { return ask("/new/a", CallerPort) == 200; });
  Store.restore(*Copy);
  // The server writes its entry again within two seconds.
  for (const absl::Time End = absl::Now() + absl::Seconds(1);
       absl::Now() < End;) {
    EXPECT_EQ(ask("/new/a", CallerPort), 200u);
    absl::SleepFor(absl::Milliseconds(20));
  }
  putSecond("ready");
  absl::SleepFor(absl::Seconds(4));
  EXPECT_EQ(ask("/new/a", CallerPort), 200u);
  EXPECT_EQ(ask("/a", CallerPort), 404u);
}

// Without an era that can be read, revisions that fall tell.
TEST_P(StoreDrillHeaderTest, DrainIsNoticed) {
  Store.setEraHeader(GetParam());
  const auto Copy = Store.copy();
  for (int I = 0; I < 4; ++I)
    putSecond("ready");
  await([&] { return ask() == 200; });
  Store.restore(*Copy);
  absl::SleepFor(absl::Seconds(3));
  putSecond("draining");
  absl::SleepFor(StoreDelay + absl::Seconds(1));
  expectNotAsked(absl::Milliseconds(300));
}

INSTANTIATE_TEST_SUITE_P(Headers, StoreDrillHeaderTest,
                         testing::Values("", "x", "-1",
                                         "99999999999999999999999"));
