#include "relay/BackendClient.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <gtest/gtest.h>

using namespace quetzallead;
using boost::asio::ip::tcp;

namespace {

/// A backend server that takes connections, and what it does then.
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

  HttpExchange request(Duration Time) {
    HttpExchange Request;
    Request.Bytes = "GET / HTTP/1.1\r\nHost: h\r\nId: 1\r\n\r\n";
    Request.Deadline = LoopTimers::now() + Time;
    Request.EchoHeader = "Id";
    Request.EchoValue = "1";
    return Request;
  }

  /// Sends a request and runs the loop until it has ended.
  HttpExchangeEnd exchange(Duration Time) {
    std::optional<HttpExchangeEnd> End;
    Backends.send(Server, request(Time),
                  [&](HttpExchangeEnd Ended) { End = std::move(Ended); });
    runUntil([&] { return End.has_value(); });
    return End.value_or(HttpExchangeEnd());
  }

  template <typename Fn> void runUntil(Fn Done) {
    const TimePoint Limit = LoopTimers::now() + absl::Seconds(20);
    Loop.restart();
    while (!Done() && LoopTimers::now() < Limit)
      Loop.run_one_for(std::chrono::milliseconds(50));
    EXPECT_TRUE(Done());
  }

  /// Accepts one connection, reads once and answers \p Bytes.
  void serve(const std::string &Bytes, bool Close) {
    Listener.async_accept([this, Bytes,
                           Close](const boost::system::error_code &Fault,
                                  tcp::socket Socket) {
      if (Fault)
        return;
      Peer = std::make_unique<tcp::socket>(std::move(Socket));
      Peer->async_read_some(
          boost::asio::buffer(Buffer),
          [this, Bytes, Close](const boost::system::error_code &, std::size_t) {
            boost::system::error_code Ignored;
            Peer->write_some(boost::asio::buffer(Bytes), Ignored);
            if (Close)
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

TEST_F(BackendClientTest, KeepsTheConnectionOfAWholeAnswer) {
  serve("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok", false);
  const HttpExchangeEnd End = exchange(absl::Seconds(5));
  ASSERT_EQ(End.Result, AttemptResult::Answered);
  EXPECT_EQ(End.Response->body(), "ok");
  EXPECT_EQ(Server->IdleConnections, 1);
}

TEST_F(BackendClientTest, AnswerWithoutLengthEndsWithItsConnection) {
  serve("HTTP/1.1 200 OK\r\n\r\nall of it", true);
  const HttpExchangeEnd End = exchange(absl::Seconds(5));
  ASSERT_EQ(End.Result, AttemptResult::Answered);
  EXPECT_EQ(End.Response->body(), "all of it");
  EXPECT_EQ(Server->IdleConnections, 0);
}

TEST_F(BackendClientTest, CutAnswerIsLost) {
  serve("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\npart", true);
  EXPECT_EQ(exchange(absl::Seconds(5)).Result, AttemptResult::Lost);
}

TEST_F(BackendClientTest, AnswerToAnotherRequestIsNotTaken) {
  serve("HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 2\r\n\r\nno", false);
  EXPECT_EQ(exchange(absl::Seconds(5)).Result, AttemptResult::BadReply);
  EXPECT_EQ(Server->IdleConnections, 0);
}

TEST_F(BackendClientTest, BytesBehindTheAnswerEndTheConnection) {
  serve("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200", false);
  EXPECT_EQ(exchange(absl::Seconds(5)).Result, AttemptResult::Answered);
  EXPECT_EQ(Server->IdleConnections, 0);
}

TEST_F(BackendClientTest, BytesThatAreNoAnswerAreABadReply) {
  serve("no protocol at all\r\n\r\n", false);
  EXPECT_EQ(exchange(absl::Seconds(5)).Result, AttemptResult::BadReply);
}

TEST_F(BackendClientTest, NobodyThereIsNotSent) {
  Listener.close();
  EXPECT_EQ(exchange(absl::Seconds(5)).Result, AttemptResult::NotSent);
  EXPECT_TRUE(Server->Unreachable);
}

// A server behind a cut takes nothing and refuses nothing; real requests must
// not be what finds out whether it is back.
TEST_F(BackendClientTest, SilentServerIsConnectedToBeforeItIsUsedAgain) {
  EXPECT_EQ(exchange(absl::Milliseconds(50)).Result, AttemptResult::TimedOut);
  EXPECT_FALSE(Server->Unreachable);
  EXPECT_EQ(exchange(absl::Milliseconds(600)).Result, AttemptResult::TimedOut);
  EXPECT_TRUE(Server->Unreachable);
  runUntil([&] { return !Server->Unreachable; });
  EXPECT_EQ(Server->IdleConnections, 1);
}
