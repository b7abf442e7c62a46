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
