#include "relay/HttpConnection.h"
#include "relay/ByteServer.h"
#include "support/BrokenAnswers.h"
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

using namespace quetzallead;
using boost::asio::ip::tcp;

namespace {

/// One connection to a server whose bytes the test chooses.
class HttpConnectionTest : public testing::Test {
protected:
  HttpConnectionTest()
      : Timers(Loop),
        Server([this](tcp::socket &Peer, const ByteServer::Request &) {
          std::unique_lock<std::mutex> Lock(Mutex);
          const auto Current = Respond;
          Lock.unlock();
          return Current(Peer);
        }) {}

  HttpExchangeResult exchange() {
    std::optional<HttpExchangeResult> End;
    HttpExchange Request;
    Request.Bytes = "GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";
    Request.Deadline = LoopTimers::now() + absl::Seconds(20);
    Request.LatestStart = LatestStart;
    Request.OnHead = [this](const HttpResponseHead &) { ++Heads; };
    Request.OnInformational = [this](const HttpResponseHead &) { ++Interims; };
    Heads = 0;
    Interims = 0;
    Connection = std::make_shared<HttpConnection>(
        Loop, Timers, Server.address(), HttpConnectionLimits());
    Connection->exchange(std::move(Request), [&](HttpExchangeResult Result) {
      End = std::move(Result);
    });
    Loop.restart();
    while (!End)
      Loop.run_one_for(std::chrono::milliseconds(50));
    return *End;
  }

  /// Answers with \p Bytes, in pieces of \p PieceSize, and closes.
  void answer(const std::string &Bytes, std::size_t PieceSize) {
    respond([=](tcp::socket &Peer) {
      Peer.set_option(tcp::no_delay(true));
      for (std::size_t At = 0; At < Bytes.size(); At += PieceSize)
        ByteServer::send(Peer, Bytes.substr(At, PieceSize));
      return false;
    });
  }
  void respond(std::function<bool(tcp::socket &)> Given) {
    std::lock_guard<std::mutex> Lock(Mutex);
    Respond = std::move(Given);
  }

  boost::asio::io_context Loop;
  LoopTimers Timers;
  TimePoint LatestStart = absl::InfiniteFuture();
  int Heads = 0;
  int Interims = 0;
  std::mutex Mutex;
  std::function<bool(tcp::socket &)> Respond;
  ByteServer Server;
  std::shared_ptr<HttpConnection> Connection;
};

} // namespace

TEST_F(HttpConnectionTest, BrokenAnswerIsABadReply) {
  for (const BrokenAnswer &Answer : brokenAnswers())
    for (std::size_t PieceSize : {Answer.Bytes.size(), std::size_t{1}}) {
      SCOPED_TRACE(Answer.Name);
      answer(Answer.Bytes, PieceSize);
      const HttpExchangeResult End = exchange();
      EXPECT_EQ(End.Result, AttemptResult::BadReply);
      EXPECT_EQ(End.Response, nullptr);
      EXPECT_FALSE(Connection->open());
    }
}

// Heads tell what servers announce, also if the rest of the answer is bad.
TEST_F(HttpConnectionTest, NothingIsLearntFromABrokenHead) {
  for (const BrokenAnswer &Answer : brokenAnswers()) {
    // The heads of these are sound.
    const std::string Name = Answer.Name;
    if (Name.substr(0, 9) == "ChunkSize" || Name == "ChunkTooShort" ||
        Name.substr(0, 7) == "Trailer")
      continue;
    SCOPED_TRACE(Name);
    answer(Answer.Bytes, Answer.Bytes.size());
    exchange();
    EXPECT_EQ(Heads, 0);
    EXPECT_EQ(Interims, Name == "InterimWithBytes" ? 1 : 0);
  }
}

TEST_F(HttpConnectionTest, TellsWhatWasWrong) {
  const std::string Chunked = "Transfer-Encoding: chunked\r\n";
  const std::pair<std::string, ResponseDefect> Cases[] = {
      {answerBytes("HTTP/1.1 000 OK"), ResponseDefect::StatusCode},
      {answerBytes("HTTP/1.1 200 OK", "X Name: 1\r\n"),
       ResponseDefect::FieldName},
      {framedBytes("Content-Length: 99999999999\r\n", BrokenBody),
       ResponseDefect::TooLarge},
      {framedBytes("X-Name: " + std::string(70000, 'x') + "\r\n", BrokenBody),
       ResponseDefect::TooLarge},
      {framedBytes(Chunked, "x\r\n"), ResponseDefect::Framing},
      {framedBytes(Chunked,
                   "0\r\nX-Name: " + std::string(65534, 'x') + "\r\n\r\n"),
       ResponseDefect::TooLarge},
      {framedBytes(Chunked, "1;" + std::string(70000, 'x') + "\r\n"),
       ResponseDefect::TooLarge},
  };
  for (const auto &[Bytes, Defect] : Cases) {
    answer(Bytes, Bytes.size());
    const HttpExchangeResult End = exchange();
    EXPECT_EQ(End.Result, AttemptResult::BadReply);
    EXPECT_EQ(nameOf(ResponseDefectNames, End.Defect),
              nameOf(ResponseDefectNames, Defect));
  }
}

TEST_F(HttpConnectionTest, SoundAnswersCount) {
  const std::string Chunked = "Transfer-Encoding: chunked\r\n";
  const std::string Sound[] = {
      answerBytes("HTTP/1.1 200 OK"),
      answerBytes("HTTP/1.1 200 "),
      answerBytes("HTTP/1.0 200 OK"),
      answerBytes("HTTP/1.1 599 \xc3\xa9\t!"),
      answerBytes("HTTP/1.1 299 OK", "X-!#$%&'*+-.^_`|~9: \xc3\xa9\ta \r\n"),
      answerBytes("HTTP/1.1 404 None", "X-Empty:\r\nx-tight:a\r\n"),
      answerBytes("HTTP/1.1 200 OK", "Content-Length: 11\r\n"),
      answerBytes("HTTP/1.1 200 OK", "Content-Encoding: identity\r\n"),
      framedBytes("", BrokenBody),
      framedBytes("Transfer-Encoding: Chunked\r\n",
                  "00b;x=\"y\"\r\nbroken-body\r\n0;z\r\nX-Trailer: t\r\n\r\n"),
      framedBytes(Chunked, "6\r\nbroken\r\n5\r\n-body\r\n000\r\n\r\n"),
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
      "HTTP/1.1 199 \r\n\r\n" +
          answerBytes("HTTP/1.1 200 OK"),
  };
  for (const std::string &Bytes : Sound)
    for (std::size_t PieceSize : {Bytes.size(), std::size_t{1}}) {
      SCOPED_TRACE(Bytes);
      answer(Bytes, PieceSize);
      const HttpExchangeResult End = exchange();
      ASSERT_EQ(End.Result, AttemptResult::Answered);
      EXPECT_EQ(End.Response->body(), BrokenBody);
      EXPECT_EQ(End.Response->count("X-Trailer"), 0u);
      EXPECT_EQ(Heads, 1);
    }
  EXPECT_EQ(Interims, 3);
}

// A server that sent interim responses without end kept the loop busy until the
// deadline; others were served a third less often.
TEST_F(HttpConnectionTest, InterimResponsesWithoutEndAreABadReply) {
  respond([](tcp::socket &Peer) {
    std::string Piece;
    while (Piece.size() < 16384)
      Piece += "HTTP/1.1 100 Continue\r\n\r\n";
    while (ByteServer::send(Peer, Piece)) {
    }
    return false;
  });
  EXPECT_EQ(exchange().Result, AttemptResult::BadReply);
  EXPECT_LE(Interims, 65536 / 25);
  EXPECT_FALSE(Connection->open());
}

// A process that was frozen while it waited for a connection sent the request
// to a server whose time had passed meanwhile.
TEST_F(HttpConnectionTest, RequestWhoseTimeHasPassedIsNotSent) {
  std::atomic<int> Requests{0};
  respond([&](tcp::socket &Peer) {
    ++Requests;
    return ByteServer::send(Peer, answerBytes("HTTP/1.1 200 OK"));
  });
  LatestStart = LoopTimers::now();
  EXPECT_EQ(exchange().Result, AttemptResult::NotSent);
  EXPECT_EQ(Requests, 0);
  LatestStart = absl::InfiniteFuture();
  EXPECT_EQ(exchange().Result, AttemptResult::Answered);
}
