#include "relay/BackendClient.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <gtest/gtest.h>

using namespace quetzallead;
using boost::asio::ip::tcp;

namespace {

/// A backend server with scripted responses, and the client under test.
class BackendClientTest : public testing::Test {
protected:
  BackendClientTest()
      : Timers(Loop), Backends(Loop, Timers),
        Listener(Loop,
                 tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)),
        Server(std::make_shared<PoolServer>()) {
    Server->Info.Id = "s";
    Server->Info.Address =
        "127.0.0.1:" + std::to_string(Listener.local_endpoint().port());
  }

  HttpExchange request(Duration Timeout) {
    HttpExchange Request;
    Request.Bytes = "GET / HTTP/1.1\r\nHost: h\r\nId: 1\r\n\r\n";
    Request.Deadline = LoopTimers::now() + Timeout;
    Request.EchoHeader = "Id";
    Request.EchoValue = "1";
    return Request;
  }

  /// Sends a request and runs the loop until the exchange has ended.
  HttpExchangeResult exchange(Duration Timeout) {
    std::optional<HttpExchangeResult> End;
    Backends.send(Server, request(Timeout),
                  [&](HttpExchangeResult Result) { End = std::move(Result); });
    runUntil([&] { return End.has_value(); });
    return End.value_or(HttpExchangeResult());
  }

  template <typename Fn> void runUntil(Fn Done) {
    const TimePoint GiveUpAt = LoopTimers::now() + absl::Seconds(20);
    Loop.restart();
    while (!Done() && LoopTimers::now() < GiveUpAt)
      Loop.run_one_for(std::chrono::milliseconds(50));
    EXPECT_TRUE(Done());
  }

  /// Accepts one connection, reads once, writes \p Bytes and then closes the
  /// connection if \p CloseAfter is set.
  void serveOnce(const std::string &Bytes, bool CloseAfter) {
    Listener.async_accept(
        [this, Bytes, CloseAfter](const boost::system::error_code &EC,
                                  tcp::socket Socket) {
          if (EC)
            return;
          Peer = std::make_unique<tcp::socket>(std::move(Socket));
          Peer->async_read_some(
              boost::asio::buffer(Buffer),
              [this, Bytes, CloseAfter](const boost::system::error_code &,
                                        std::size_t) {
                boost::system::error_code IgnoredEC;
                Peer->write_some(boost::asio::buffer(Bytes), IgnoredEC);
                if (CloseAfter)
                  Peer.reset();
              });
        });
  }

  boost::asio::io_context Loop;
  LoopTimers Timers;
  BackendClient Backends;
  tcp::acceptor Listener;
  ServerRef Server;
  std::unique_ptr<tcp::socket> Peer;
  std::array<char, 1024> Buffer{};
};

} // namespace

TEST_F(BackendClientTest, CompleteResponseKeepsConnection) {
  serveOnce("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok", false);
  const HttpExchangeResult End = exchange(absl::Seconds(5));
  ASSERT_EQ(End.Result, AttemptResult::Answered);
  EXPECT_EQ(End.Response->body(), "ok");
  EXPECT_EQ(Server->IdleConnections, 1);
}

TEST_F(BackendClientTest, ResponseWithoutLengthEndsAtClose) {
  serveOnce("HTTP/1.1 200 OK\r\n\r\nall of it", true);
  const HttpExchangeResult End = exchange(absl::Seconds(5));
  ASSERT_EQ(End.Result, AttemptResult::Answered);
  EXPECT_EQ(End.Response->body(), "all of it");
  EXPECT_EQ(Server->IdleConnections, 0);
}

TEST_F(BackendClientTest, TruncatedResponseIsLost) {
  serveOnce("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\npart", true);
  EXPECT_EQ(exchange(absl::Seconds(5)).Result, AttemptResult::Lost);
}

TEST_F(BackendClientTest, ResponseToAnotherRequestIsBadReply) {
  serveOnce("HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 2\r\n\r\nno", false);
  EXPECT_EQ(exchange(absl::Seconds(5)).Result, AttemptResult::BadReply);
  EXPECT_EQ(Server->IdleConnections, 0);
}

TEST_F(BackendClientTest, BytesAfterResponseCloseConnection) {
  serveOnce("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200",
            false);
  EXPECT_EQ(exchange(absl::Seconds(5)).Result, AttemptResult::Answered);
  EXPECT_EQ(Server->IdleConnections, 0);
}

TEST_F(BackendClientTest, MalformedResponseIsBadReply) {
  serveOnce("no protocol at all\r\n\r\n", false);
  EXPECT_EQ(exchange(absl::Seconds(5)).Result, AttemptResult::BadReply);
}

TEST_F(BackendClientTest, ConnectionRefusedIsNotSent) {
  Listener.close();
  EXPECT_EQ(exchange(absl::Seconds(5)).Result, AttemptResult::NotSent);
  EXPECT_TRUE(Server->Unreachable);
}

// Guards against using real requests to detect that a partitioned server is
// back. Such a server neither accepts nor refuses connections, so each of those
// requests would time out.
TEST_F(BackendClientTest, UnresponsiveServerIsReconnectedBeforeReuse) {
  EXPECT_EQ(exchange(absl::Milliseconds(50)).Result, AttemptResult::TimedOut);
  EXPECT_FALSE(Server->Unreachable);
  EXPECT_EQ(exchange(absl::Milliseconds(600)).Result, AttemptResult::TimedOut);
  EXPECT_TRUE(Server->Unreachable);
  runUntil([&] { return !Server->Unreachable; });
  EXPECT_EQ(Server->IdleConnections, 1);
}
