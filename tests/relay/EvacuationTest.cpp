#include "relay/RelayRequestHarness.h"
#include "relay/RelayWithStore.h"

using namespace quetzallead;

namespace {

class EvacuationTest : public RelayWithStore {
protected:
  /// A server in zone "b", besides that in "a".
  void putSecond() {
    Store.put("servers/i-2",
              absl::StrCat(R"({"service": "x", "zone": "b", "slots": 8, )",
                           R"("born": 1, "state": "ready", "address": ")",
                           Second.address(), "\"}"));
  }
  void awaitBoth() {
    await([&] { return ask() == 200 && Backend.Requests > 0; });
    absl::SleepFor(absl::Milliseconds(1500));
  }
  /// Waits until the evacuation is in force and what was sent before has been
  /// counted: a hedge may reach the second server beside such a request.
  void awaitOnlySecond() {
    await([&] {
      const int Before = Backend.Requests;
      const int SecondBefore = Second.Requests;
      for (int I = 0; I < 5; ++I)
        if (ask() != 200)
          return false;
      return Backend.Requests == Before && Second.Requests == SecondBefore + 5;
    });
    absl::SleepFor(absl::Milliseconds(100));
  }
  void expectOnlySecond(int Count) {
    const int Before = Backend.Requests;
    const int SecondBefore = Second.Requests;
    for (int I = 0; I < Count; ++I)
      EXPECT_EQ(ask(), 200u);
    EXPECT_EQ(Backend.Requests, Before);
    EXPECT_EQ(Second.Requests, SecondBefore + Count);
  }
};

} // namespace

TEST_F(EvacuationTest, EvacuatedZoneGetsNoRequestsUntilItReturns) {
  putSecond();
  awaitBoth();
  Store.put("op/evacuate/a", "{}");
  awaitOnlySecond();
  expectOnlySecond(20);
  Store.remove("op/evacuate/a");
  const int Before = Backend.Requests;
  await([&] { return ask() == 200 && Backend.Requests > Before; });
}

TEST_F(EvacuationTest, AllZonesEvacuatedRejectsAtOnce) {
  putSecond();
  awaitBoth();
  Store.put("op/evacuate/a", "{}");
  Store.put("op/evacuate/b", "{}");
  await([&] { return ask() == 503; });
  const absl::Time Begin = absl::Now();
  EXPECT_EQ(ask(), 503u);
  EXPECT_LT(absl::Now() - Begin, absl::Milliseconds(200));
  Store.remove("op/evacuate/b");
  await([&] { return ask() == 200; });
  expectOnlySecond(5);
}

TEST_F(EvacuationTest, OtherKeysOfTheOperatorAreIgnored) {
  awaitBoth();
  Store.put("op/evacuate/", "{}");
  Store.put("op/evacuate/nowhere", "not JSON");
  Store.put("op/other/a", "{}");
  absl::SleepFor(absl::Milliseconds(600));
  EXPECT_EQ(ask(), 200u);
}

// A survey's queued parts, hedges and retries must leave the zone as well.
TEST(EvacuatedPoolTest, QueuedRequestsLeaveTheZone) {
  RelayRequestHarness H(1, 1);
  H.startRequest();
  H.State->setEvacuatedZones({"a"}, H.Now);
  H.endAttempt(0, AttemptResult::Lost);
  H.advance(absl::Milliseconds(500));
  EXPECT_EQ(H.SentServers.size(), 1U);
  H.startRequest();
  EXPECT_EQ(H.SentServers.size(), 1U);
  EXPECT_EQ(H.Verdict->Outcome, RelayOutcome::Unservable);
}

TEST(EvacuatedPoolTest, HedgesAndRetriesLeaveTheZone) {
  RelayRequestHarness H(1);
  H.RequestRoute.MaxAttempts = 3;
  H.State->setEvacuatedZones({"b"}, H.Now);
  H.startRequest();
  H.advance(absl::Milliseconds(90));
  H.endAttempt(0, AttemptResult::Lost);
  H.advance(absl::Milliseconds(500));
  EXPECT_GE(H.SentServers.size(), 2U);
  for (const std::string &Server : H.SentServers)
    EXPECT_NE(Server, "s0-1");
}

TEST(EvacuatedPoolTest, ServersThatRegisterDuringAnEvacuationGetNothing) {
  RelayRequestHarness H(1, 1);
  H.State->setEvacuatedZones({"a", "b"}, H.Now);
  DiscoveredServer New;
  New.Id = "new";
  New.Service = "s0";
  New.Address = "127.0.0.1:1";
  New.Zone = "b";
  H.State->applyFeedChanges({FeedChange{New.Id, New}}, H.Now);
  H.startRequest();
  EXPECT_TRUE(H.SentServers.empty());
  H.State->setEvacuatedZones({"a"}, H.Now);
  H.startRequest();
  EXPECT_EQ(H.SentServers.size(), 1U);
}
