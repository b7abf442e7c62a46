#include "relay/RelayWithStore.h"

using namespace quetzallead;

namespace {

class ServerLimitTest : public RelayWithStore {
protected:
  void askUntilServed() {
    await([&] { return ask() == 200; });
  }

  void nameLimit(const std::string &Value) {
    Backend.setResponse("200 OK", "Server-Limit: " + Value + "\r\n");
  }

  /// Asks without pause for \p Time; returns the requests that the server got.
  int requestsWithin(Duration Time) {
    const int Before = Backend.Requests;
    for (const absl::Time End = absl::Now() + Time; absl::Now() < End;)
      ask();
    return Backend.Requests - Before;
  }
};

/// The most requests that a server may get in four seconds.
int mostInFourSeconds(double Limit) {
  return static_cast<int>(1.5 * 4 * Limit) + 5;
}

} // namespace

TEST_F(ServerLimitTest, ServerGotMoreRequestsThanItsLimit) {
  askUntilServed();
  nameLimit("10");
  askUntilServed();
  absl::SleepFor(absl::Milliseconds(500));
  EXPECT_LE(requestsWithin(absl::Seconds(4)), mostInFourSeconds(10));
}

// A server that takes none is asked now and then, so that its recovery shows.
TEST_F(ServerLimitTest, LimitThatTheServerNoLongerNamesEnds) {
  askUntilServed();
  nameLimit("0");
  askUntilServed();
  EXPECT_LE(requestsWithin(absl::Seconds(4)), mostInFourSeconds(0));
  Backend.setResponse("200 OK", "");
  await([&] { return requestsWithin(absl::Milliseconds(100)) > 10; });
}

TEST_F(ServerLimitTest, LimitsThatCannotBeReadAreIgnored) {
  askUntilServed();
  for (const char *Value : {"-1", "", "few", "nan", "inf", "1e999", "1e99"}) {
    nameLimit(Value);
    EXPECT_EQ(ask(), 200u) << Value;
    EXPECT_GT(requestsWithin(absl::Milliseconds(200)), 20) << Value;
  }
}
