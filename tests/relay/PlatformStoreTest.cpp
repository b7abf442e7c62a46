#include "platform/PlatformStore.h"
#include "absl/strings/str_cat.h"
#include "support/BrokenAnswers.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

using namespace quetzallead;
using boost::asio::ip::tcp;

namespace {

/// Runs a PlatformStore against a local server that answers one request with a
/// prepared response.
class PlatformStoreTest : public testing::Test {
protected:
  PlatformStoreTest()
      : Timers(Loop),
        Listener(Loop,
                 tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)),
        Store(Loop, Timers,
              "127.0.0.1:" + std::to_string(Listener.local_endpoint().port()),
              absl::Milliseconds(300)) {}

  /// Answers the first request on the next connection.
  void respondOnce(const std::string &Status, const std::string &Body) {
    sendOnce("HTTP/1.1 " + Status + "\r\nContent-Length: " +
             std::to_string(Body.size()) + "\r\n\r\n" + Body);
  }
  void sendOnce(const std::string &Bytes) {
    Listener.async_accept([this, Bytes](const boost::system::error_code &Error,
                                        tcp::socket Socket) {
      ASSERT_FALSE(Error);
      Peer = std::make_unique<tcp::socket>(std::move(Socket));
      Peer->async_read_some(
          boost::asio::buffer(Buffer),
          [this, Bytes](const boost::system::error_code &, std::size_t Count) {
            Received.assign(Buffer.data(), Count);
            boost::system::error_code Ignored;
            boost::asio::write(*Peer, boost::asio::buffer(Bytes), Ignored);
          });
    });
  }

  /// Starts a call with \p Start and runs the event loop until its callback has
  /// run.
  template <typename Reply, typename Fn> Reply await(Fn Start) {
    std::optional<Reply> Response;
    Start([&](Reply Value) { Response = std::move(Value); });
    const TimePoint GiveUpAt = LoopTimers::now() + absl::Seconds(20);
    while (!Response && LoopTimers::now() < GiveUpAt)
      Loop.run_one_for(std::chrono::milliseconds(50));
    EXPECT_TRUE(Response.has_value());
    return Response.value_or(Reply());
  }

  StorePage read() {
    return await<StorePage>([this](RevisionedStore::PageCallback Done) {
      Store.read("servers/", "servers/a b", false, std::move(Done));
    });
  }

  boost::asio::io_context Loop;
  LoopTimers Timers;
  tcp::acceptor Listener;
  PlatformStore Store;
  std::unique_ptr<tcp::socket> Peer;
  std::array<char, 4096> Buffer{};
  std::string Received;
};

} // namespace

TEST_F(PlatformStoreTest, DecodesPage) {
  respondOnce("200 OK",
              R"({"items": [{"key": "servers/x", "value": "aGk=", "revision": 3,
             "created": 2, "lease": 0}], "has_more": true,
             "current_rev": 9})");
  const StorePage Page = read();
  EXPECT_EQ(Page.Outcome, StoreOutcome::Done);
  ASSERT_EQ(Page.Items.size(), 1u);
  EXPECT_EQ(Page.Items[0].Value, "hi");
  EXPECT_TRUE(Page.HasMore);
  EXPECT_EQ(Page.Revision, 9u);
  EXPECT_EQ(Received.substr(0, Received.find('\r')),
            "GET /kv-range?prefix=servers/&after=servers/a%20b HTTP/1.1");
}

// It ended the process.
TEST_F(PlatformStoreTest, LongTrailerIsAFailedCall) {
  for (const char *Status : {"200 OK", "503 Busy", "421 Misdirected"})
    for (const std::string &Trailer : {"X-Name: " + std::string(70000, 'x'),
                                       std::string(70000, 'x') + ": 1"}) {
      sendOnce(absl::StrCat("HTTP/1.1 ", Status,
                            "\r\nTransfer-Encoding: chunked\r\n\r\n"
                            "0\r\n",
                            Trailer, "\r\n\r\n"));
      EXPECT_EQ(read().Outcome, StoreOutcome::Unknown) << Status;
    }
  respondOnce("200 OK", R"({"items": [], "current_rev": 9})");
  EXPECT_EQ(read().Outcome, StoreOutcome::Done);
}

TEST_F(PlatformStoreTest, DecodesRemovals) {
  respondOnce("200 OK", R"({"events": [{"key": "k", "revision": 4,
                       "removed": true}], "current_rev": 4})");
  const auto Page =
      await<StorePage>([this](RevisionedStore::PageCallback Done) {
        Store.watch("k", 3, absl::Seconds(20), absl::Seconds(21),
                    std::move(Done));
      });
  ASSERT_EQ(Page.Items.size(), 1u);
  EXPECT_TRUE(Page.Items[0].Removed);
  EXPECT_NE(Received.find("/kv-watch?prefix=k&after=3&wait_ms=20000 "),
            std::string::npos);
}

TEST_F(PlatformStoreTest, MapsFailuresToOutcomes) {
  const std::pair<const char *, StoreOutcome> Cases[] = {
      {"410 Gone", StoreOutcome::HistoryCompacted},
      {"429 Too Many", StoreOutcome::Rejected},
      {"503 Unavailable", StoreOutcome::Rejected},
      {"412 Failed", StoreOutcome::Conflict},
      {"404 None", StoreOutcome::NotFound},
      {"500 Oh", StoreOutcome::BadReply},
      {"200 OK", StoreOutcome::BadReply}};
  for (const auto &[Status, Outcome] : Cases) {
    SetUp();
    respondOnce(Status, "no json");
    EXPECT_EQ(read().Outcome, Outcome) << Status;
    Peer.reset();
    Loop.run_for(std::chrono::milliseconds(20));
  }
}

TEST_F(PlatformStoreTest, TimedOutConnectionIsNotReused) {
  EXPECT_EQ(read().Outcome, StoreOutcome::Unknown);
  // Takes the timed-out connection from the listener's queue, so that the
  // response goes to a new connection.
  tcp::socket TimedOut = Listener.accept();
  respondOnce("200 OK", R"({"items": [], "current_rev": 1})");
  EXPECT_EQ(read().Outcome, StoreOutcome::Done);
}

TEST_F(PlatformStoreTest, UnreachableStoreIsReportedAsRefused) {
  Listener.close();
  const auto Reply =
      await<StoreReply>([this](RevisionedStore::ReplyCallback Done) {
        Store.put("k", "v", 0, std::move(Done));
      });
  EXPECT_EQ(Reply.Outcome, StoreOutcome::Rejected);
}

TEST_F(PlatformStoreTest, PutsKeyUnderLease) {
  respondOnce("200 OK", R"({"revision": 5})");
  const auto Reply =
      await<StoreReply>([this](RevisionedStore::ReplyCallback Done) {
        Store.put("k", "v", 77, std::move(Done));
      });
  EXPECT_EQ(Reply.Outcome, StoreOutcome::Done);
  EXPECT_NE(Received.find(R"("puts":[{"key":"k","lease":77,"value":"dg=="}])"),
            std::string::npos)
      << Received;
}

// Too many calls are turned away by a store that serves others, also those of
// backend servers; 503 and a lost response tell nothing.
TEST_F(PlatformStoreTest, TellsWhenTheStoreServes) {
  int Served = 0;
  Store.OnServed = [&] { ++Served; };
  const std::pair<const char *, int> Expected[] = {
      {"200 OK", 1},   {"429 Too Many Requests", 2}, {"503 Unavailable", 2},
      {"410 Gone", 3}, {"500 Server Error", 3},
  };
  for (const auto &[Status, Count] : Expected) {
    sendOnce(std::string("HTTP/1.1 ") + Status +
             "\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}");
    read();
    EXPECT_EQ(Served, Count) << Status;
  }
}

// A page with a status that is none was not taken, but the era in its head was:
// everything was read again.
TEST_F(PlatformStoreTest, NothingIsTakenFromABrokenAnswer) {
  const std::string Page =
      R"({"items": [], "has_more": false, "current_rev": 9})";
  const auto Framed = [&](const std::string &StatusLine,
                          const std::string &Fields) {
    return StatusLine + "\r\n" + Fields +
           "Content-Length: " + std::to_string(Page.size()) + "\r\n\r\n" + Page;
  };
  int Eras = 0;
  Store.OnNewEra = [&](std::uint64_t) { ++Eras; };
  sendOnce(Framed("HTTP/1.1 200 OK", "Store-Era: 1\r\n"));
  EXPECT_EQ(read().Outcome, StoreOutcome::Done);
  const std::string Broken[] = {
      Framed("HTTP/1.1 000 OK", "Store-Era: 2\r\n"),
      Framed("HTTP/1.1 099 OK", "Store-Era: 2\r\n"),
      Framed("HTTP/1.1 600 OK", "Store-Era: 2\r\n"),
      Framed("HTTP/1.1 200 OK", "Store-Era: 2\r\nX Name: 1\r\n"),
      Framed("HTTP/1.1 200 OK", "Store-Era: 2\r\nX-Name: a\x01\r\n"),
      Framed("HTTP/1.1 200 OK", "Store-Era: 2\r\nContent-Encoding: gzip\r\n"),
  };
  for (const std::string &Bytes : Broken) {
    // The connection of the last answer must not serve this one.
    Peer.reset();
    Loop.run_for(std::chrono::milliseconds(20));
    sendOnce(Bytes);
    EXPECT_NE(read().Outcome, StoreOutcome::Done) << Bytes;
  }
  EXPECT_EQ(Eras, 0);
}
