#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "runtime/TimerService.h"
#include "support/ChildProcess.h"
#include "support/Fetch.h"
#include "support/TestDaemon.h"
#include "support/TestFleet.h"
#include "support/WaitUntil.h"
#include "transport/peer/PeerTransport.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <sys/time.h>

using namespace quetzallead;

namespace {

/// A daemon whose peers of any kind send bytes that nobody has to expect.
class OddBytesTest : public testing::Test {
protected:
  OddBytesTest() : Fleet(options()) {}
  void SetUp() override { ASSERT_TRUE(Fleet.start()) << Fleet.problem(); }

  static TestFleetOptions options() {
    TestFleetOptions Options;
    Options.Daemons = {"a"};
    return Options;
  }

  /// Sends \p Bytes to \p Address and reads what comes for a moment.
  static void play(const std::string &Address, const std::string &Bytes) {
    namespace asio = boost::asio;
    asio::io_context Loop;
    asio::ip::tcp::socket Peer(Loop);
    const std::size_t Colon = Address.find(':');
    boost::system::error_code Ignored;
    Peer.connect(
        asio::ip::tcp::endpoint(
            asio::ip::make_address(Address.substr(0, Colon)),
            static_cast<std::uint16_t>(std::stoul(Address.substr(Colon + 1)))),
        Ignored);
    const timeval Limit{0, 200000};
    setsockopt(Peer.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &Limit,
               sizeof(Limit));
    asio::write(Peer, asio::buffer(Bytes), Ignored);
    char Buffer[4096];
    while (recv(Peer.native_handle(), Buffer, sizeof(Buffer), 0) > 0) {
    }
  }

  void expectSound() {
    EXPECT_TRUE(Fleet.daemon(0).Process->running()) << Fleet.logs();
    const auto Answer = Fleet.admin(0, "GET", "/readyz");
    ASSERT_TRUE(Answer) << Fleet.logs();
    EXPECT_EQ(Answer->Status, 200);
  }

  TestFleet Fleet;
};

/// Requests with parts of \p Size bytes.
std::vector<std::string> longRequests(const std::string &Target,
                                      std::size_t Size) {
  const std::string Long(Size, 'x');
  const std::string Post =
      absl::StrCat("POST ", Target, " HTTP/1.1\r\nHost: h\r\n");
  const std::string Chunked =
      Post + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n";
  const std::string Upgrade =
      absl::StrCat("GET ", Target,
                   " HTTP/1.1\r\nHost: h\r\nUpgrade: websocket\r\n"
                   "Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
                   "Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n");
  return {
      absl::StrCat(Post, "X-Name: ", Long, "\r\n\r\n"),
      absl::StrCat(Post, Long, ": 1\r\n\r\n"),
      absl::StrCat(Chunked, "X-Name: ", Long, "\r\n\r\n"),
      absl::StrCat(Chunked, Long, ": 1\r\n\r\n"),
      absl::StrCat(Post, "Transfer-Encoding: chunked\r\n\r\n2;", Long,
                   "\r\n{}\r\n0\r\n\r\n"),
      absl::StrCat(Post, "Content-Length: 999999999999999999\r\n\r\n{}"),
      absl::StrCat(Post, "Content-Length: 99999999999999999999999\r\n\r\n{}"),
      absl::StrCat(Post, "Content-Length: -1\r\n\r\n{}"),
      absl::StrCat("GET /", Long, " HTTP/1.1\r\nHost: h\r\n\r\n"),
      absl::StrCat(Long, " / HTTP/1.1\r\nHost: h\r\n\r\n"),
      absl::StrCat("GET ", Target, " HTTP/1.1\r\nHost: ", Long, "\r\n\r\n"),
      absl::StrCat("GET ", Target, " HTTP/1.1\r\nHost: [::1:x\r\n\r\n"),
      absl::StrCat(Upgrade, "Sec-WebSocket-Protocol: ", Long, "\r\n\r\n"),
      absl::StrCat(Upgrade, "Sec-WebSocket-Extensions: ;;,\"\\\r\n\r\n"),
      absl::StrCat(Upgrade, "Host: a:b:c\r\n\r\n"),
      absl::StrCat(Upgrade, "\r\n",
                   std::string("\x82\x7f\xff\xff\xff\xff"
                               "\xff\xff\xff\xff\0\0\0\0",
                               14)),
      absl::StrCat(Upgrade, "\r\n", Long),
      std::string(Size, '\0'),
      std::string(Size, '\xff'),
  };
}

} // namespace

TEST_F(OddBytesTest, LongRequestsDoNotEndTheProcess) {
  const TestDaemon &Daemon = Fleet.daemon(0);
  for (const auto &[Address, Target] :
       {std::pair(Daemon.Caller, "/v1/session"),
        std::pair(Daemon.Admin, "/v1/sheet"),
        std::pair(Daemon.Metrics, "/metrics"), std::pair(Daemon.Peer, "/peer")})
    for (const std::string &Bytes : longRequests(Target, 70000)) {
      play(Address, Bytes);
      EXPECT_TRUE(Fleet.daemon(0).Process->running())
          << Address << Target << " " << Bytes.substr(0, 60);
    }
  expectSound();
}

// The refusal quotes what could not be read, in JSON, which has to be UTF-8.
TEST_F(OddBytesTest, SheetThatIsNotUtf8EndedTheProcess) {
  for (const char *Body :
       {"\"\xff", "{\"\xff\": 1}", "\xff\xfe", "{\"a\xc3\"}"}) {
    const auto Answer = Fleet.admin(0, "POST", "/v1/sheet", Body);
    ASSERT_TRUE(Answer) << Fleet.logs();
    EXPECT_EQ(Answer->Status, 422);
  }
  expectSound();
}

// Operators who asked for the instances ended each daemon that knew it.
TEST_F(OddBytesTest, InstanceWhoseNameIsNotUtf8EndedTheProcess) {
  auto Timers = TimerService::make();
  PeerTransportOptions Options;
  Options.Listen = "127.0.0.1:0";
  Options.Self.Instance = "inst-\xff";
  Options.Self.Zone = "a\xff";
  Options.Self.Incarnation = 7;
  Options.Keys = {"peer-key-of-the-tests-0000000000001"};
  auto Made = capture([&] {
    return PeerTransport::make(Options, PeerTransportHandlers(), *Timers);
  });
  ASSERT_TRUE(std::holds_alternative<std::unique_ptr<PeerTransport>>(Made));
  std::get<std::unique_ptr<PeerTransport>>(Made)->connect(Fleet.daemon(0).Peer);
  EXPECT_TRUE(waitUntil([&] {
    const auto Answer = Fleet.admin(0, "GET", "/v1/instances");
    return !Answer ||
           Answer->Body.find("inst-\xef\xbf\xbd") != std::string::npos;
  }));
  const auto Status = Fleet.admin(0, "GET", "/v1/sheet/status");
  ASSERT_TRUE(Status) << Fleet.logs();
  EXPECT_EQ(Status->Status, 200);
  expectSound();
}
