#include "relay/RelayWithStore.h"

using namespace quetzallead;

namespace {

/// More than the time from a change in the store to its effect.
constexpr Duration StoreDelay = absl::Milliseconds(1500);

class ServerPauseTest : public RelayWithStore {
protected:
  void askUntilServed() {
    await([&] { return ask() == 200; });
  }

  /// Lets the server reject a request with Retry-After \p Value.
  void pause(const std::string &Value) {
    Backend.setResponse("503 Busy",
                        "Not-Executed: 1\r\nRetry-After: " + Value + "\r\n");
    EXPECT_EQ(ask(), 503u);
    Backend.setResponse("200 OK", "");
  }

  /// Expects that the server gets no request for \p Time.
  void expectNotAskedFor(Duration Time) {
    const int Before = Backend.Requests;
    for (const absl::Time End = absl::Now() + Time; absl::Now() < End;
         absl::SleepFor(absl::Milliseconds(50)))
      EXPECT_EQ(ask(), 503u);
    EXPECT_EQ(Backend.Requests, Before);
  }
};

} // namespace

TEST_F(ServerPauseTest, ServerThatAsksForAPauseGetsNoRequest) {
  askUntilServed();
  pause("2");
  const std::string Head = askForHead();
  const std::string Name = "Retry-After: ";
  const std::size_t At = Head.find(Name);
  ASSERT_NE(At, std::string::npos) << Head;
  const double Seconds = std::stod(Head.substr(At + Name.size()));
  EXPECT_GT(Seconds, 1.5);
  EXPECT_LT(Seconds, 3);
  expectNotAskedFor(absl::Milliseconds(1700));
  absl::SleepFor(absl::Milliseconds(400));
  EXPECT_EQ(ask(), 200u);
}

TEST_F(ServerPauseTest, PauseOutlastsAChangeOfTheServerList) {
  askUntilServed();
  pause("8");
  Store.remove("servers/i-1");
  absl::SleepFor(StoreDelay + LeavingTime);
  putServer("i-1", "ready");
  absl::SleepFor(StoreDelay);
  expectNotAskedFor(absl::Seconds(1));
}

TEST_F(ServerPauseTest, TimesThatCannotBeReadAreIgnored) {
  askUntilServed();
  for (const char *Value : {"0", "-1", "", "soon", "nan", "inf", "1e999",
                            "Wed, 21 Oct 2026 07:28:00 GMT"}) {
    pause(Value);
    EXPECT_EQ(ask(), 200u) << Value;
  }
}
