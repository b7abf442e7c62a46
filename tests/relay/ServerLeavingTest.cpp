#include "relay/RelayWithStore.h"

using namespace quetzallead;

namespace {

constexpr char LeavingHeader[] = "Server-Leaving: 1\r\n";
/// More than the time from a change in the store to its effect.
constexpr Duration StoreDelay = absl::Milliseconds(1500);

class ServerLeavingTest : public RelayWithStore {
protected:
  /// Sends requests until the backend server i-1 has received one.
  void askUntilServed() {
    const int Before = Backend.Requests;
    await([&] { return ask() == 200 && Backend.Requests > Before; });
  }

  /// Registers a second server, so that requests that fail at i-1 succeed.
  void addSecond() {
    putServer("i-2", "ready", Second, 1);
    await([&] { return ask() == 200 && Second.Requests > 0; });
  }
  void removeSecond() {
    putServer("i-2", "draining", Second, 1);
    absl::SleepFor(StoreDelay);
  }

  /// Expects that i-1 gets no request, although no other server is left.
  void expectNotAsked() {
    const int Before = Backend.Requests;
    for (int I = 0; I < 5; ++I)
      EXPECT_EQ(ask(), 503u);
    EXPECT_EQ(Backend.Requests, Before);
  }
};

} // namespace

// A store that is late or comes back older lists a leaving server as ready.
TEST_F(ServerLeavingTest, ReadyEntryDoesNotOverrideTheAnnouncement) {
  askUntilServed();
  Backend.setResponse("200 OK", LeavingHeader);
  askUntilServed();
  expectNotAsked();
  putServer("i-1", "ready");
  absl::SleepFor(StoreDelay);
  expectNotAsked();
  Store.remove("servers/i-1");
  absl::SleepFor(StoreDelay + LeavingTime);
  putServer("i-1", "ready");
  absl::SleepFor(StoreDelay);
  expectNotAsked();
  // Another incarnation under the same id.
  Backend.setResponse("200 OK", "");
  putServer("i-1", "ready", Backend, 2);
  askUntilServed();
}

TEST_F(ServerLeavingTest, AnnouncementInABrokenResponseCounts) {
  askUntilServed();
  addSecond();
  Backend.setResponse("200 OK", LeavingHeader);
  Backend.BreaksOff = true;
  askUntilServed();
  removeSecond();
  Backend.BreaksOff = false;
  expectNotAsked();
}

TEST_F(ServerLeavingTest, AnnouncementInAnErrorResponseCounts) {
  askUntilServed();
  addSecond();
  Backend.setResponse("500 Failed", LeavingHeader);
  askUntilServed();
  removeSecond();
  Backend.setResponse("200 OK", "");
  expectNotAsked();
}

TEST_F(ServerLeavingTest, RequestIsRejectedAtOnceIfAllServersLeave) {
  askUntilServed();
  Backend.setResponse("200 OK", LeavingHeader);
  askUntilServed();
  const absl::Time SentAt = absl::Now();
  EXPECT_EQ(ask(), 503u);
  EXPECT_LT(absl::Now() - SentAt, absl::Milliseconds(500));
}
