#include "relay/RelayWithStore.h"
#include "support/LiveSockets.h"
#include <algorithm>

using namespace quetzallead;

namespace {

/// Opens a connection to the relay and keeps it open.
class SocketOptionsTest : public RelayWithStore {
protected:
  SocketOptionsTest() : Caller(CallerLoop) {
    await([&] { return ask() == 200; });
    Caller.connect(boost::asio::ip::tcp::endpoint(
        boost::asio::ip::make_address("127.0.0.1"),
        static_cast<std::uint16_t>(CallerPort)));
  }

  static int portOf(const std::string &Address) {
    return std::stoi(Address.substr(Address.find(':') + 1));
  }
  /// The sockets whose peer is \p PeerPort, or that are bound to \p LocalPort.
  static std::vector<LiveSocket> socketsOf(int PeerPort, int LocalPort) {
    std::vector<LiveSocket> Sockets = liveSockets();
    Sockets.erase(std::remove_if(Sockets.begin(), Sockets.end(),
                                 [=](const LiveSocket &S) {
                                   return S.PeerPort != PeerPort &&
                                          S.LocalPort != LocalPort;
                                 }),
                  Sockets.end());
    return Sockets;
  }

  boost::asio::io_context CallerLoop;
  boost::asio::ip::tcp::socket Caller;
};

} // namespace

// TCP_USER_TIMEOUT decides when keep-alive probes give up: it has to be longer
// than the time to the first probe, or an idle peer would be given up unasked.
TEST_F(SocketOptionsTest, ProbesAreSentBeforeTheUserTimeoutEndsAConnection) {
  await([&] { return !socketsOf(-1, CallerPort).empty(); });
  await([&] {
    const auto Accepted = socketsOf(-1, CallerPort);
    return std::all_of(Accepted.begin(), Accepted.end(),
                       [](const LiveSocket &S) { return S.KeepAlive; });
  });
  for (const LiveSocket &S : socketsOf(-1, CallerPort)) {
    EXPECT_EQ(S.KeepIdleSeconds, 10);
    EXPECT_EQ(S.KeepIntervalSeconds, 10);
    EXPECT_EQ(S.UserTimeoutMillis, 10000);
  }
  for (const std::string &Address : {Backend.address(), Store.address()}) {
    const std::vector<LiveSocket> Sockets = socketsOf(portOf(Address), -1);
    EXPECT_FALSE(Sockets.empty());
    for (const LiveSocket &S : Sockets) {
      EXPECT_TRUE(S.KeepAlive);
      EXPECT_EQ(S.KeepIdleSeconds, 1);
      EXPECT_EQ(S.KeepIntervalSeconds, 1);
      EXPECT_EQ(S.UserTimeoutMillis, 2000);
    }
  }
  for (const LiveSocket &S : socketsOf(-1, CallerPort))
    EXPECT_GE(S.UserTimeoutMillis, 1000 * S.KeepIdleSeconds);
}
