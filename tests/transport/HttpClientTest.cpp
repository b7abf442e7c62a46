#include "transport/http/HttpClient.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "support/BrokenAnswers.h"
#include "transport/Inbox.h"
#include "transport/RawListener.h"
#include "transport/http/HttpServer.h"
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <sys/resource.h>
#include <thread>

using namespace quetzallead;
using testing::HasSubstr;
using testing::Not;
using testing::StartsWith;

namespace {

constexpr Duration GenerousTimeout = absl::Seconds(30);

HttpCall makeCall(const std::string &Address, std::string Body = "") {
  HttpCall Call;
  Call.Method = Body.empty() ? "GET" : "POST";
  Call.Address = Address;
  Call.Target = "/t";
  Call.Body = std::move(Body);
  Call.Timeout = GenerousTimeout;
  return Call;
}

HttpCall makeEchoCall(const std::string &Address, const std::string &Id) {
  HttpCall Call = makeCall(Address, "body");
  Call.Headers.add("X-Request-Id", Id);
  Call.RequireEcho = true;
  return Call;
}

std::string makeResponse(absl::string_view Body, absl::string_view Id = "") {
  std::string Echo =
      Id.empty() ? "" : absl::StrCat("X-Request-Id: ", Id, "\r\n");
  return absl::StrCat("HTTP/1.1 200 OK\r\n", Echo,
                      "Content-Length: ", Body.size(), "\r\n\r\n", Body);
}

/// A client, and the outcomes of its calls in the order they ended.
class HttpClientTest : public testing::Test {
protected:
  HttpClient::CallId start(HttpCall Call) {
    return Client->start(std::move(Call), [this](HttpOutcome Outcome) {
      Outcomes.put(std::move(Outcome));
    });
  }
  HttpOutcome next() { return Outcomes.next().value_or(HttpOutcome()); }

  /// Runs one whole exchange, so that its connection is kept for reuse.
  RawConnection warmUp() {
    start(makeCall(Listener.address(), "warm"));
    RawConnection Peer = Listener.accept();
    Peer.readThrough("warm");
    Peer.send(makeResponse("ok"));
    EXPECT_EQ(next().Response.Body, "ok");
    return Peer;
  }

  Inbox<HttpOutcome> Outcomes;
  RawListener Listener;
  std::unique_ptr<HttpClient> Client = HttpClient::make({});
};

} // namespace

TEST_F(HttpClientTest, SendsTheWholeRequestAndReadsTheWholeResponse) {
  HttpCall Call = makeCall(Listener.address(), "hello");
  Call.Method = "PUT";
  Call.Target = "/a%20b?x=1";
  Call.Headers.add("X-Name", "value");
  Call.Headers.add("X-Empty", "");
  start(Call);
  RawConnection Peer = Listener.accept();
  std::string Request = Peer.readThrough("hello");
  EXPECT_THAT(Request, StartsWith("PUT /a%20b?x=1 HTTP/1.1\r\n"));
  EXPECT_THAT(Request, HasSubstr("X-Name: value\r\n"));
  EXPECT_THAT(Request, HasSubstr("X-Empty:"));
  EXPECT_THAT(Request, HasSubstr("Content-Length: 5\r\n"));
  EXPECT_THAT(Request, Not(HasSubstr("Expect")));
  Peer.send("HTTP/1.1 100 Continue\r\nX-Interim: 1\r\n\r\n"
            "HTTP/1.1 409 Conflict\r\nX-Load: 3\r\n"
            "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n");
  HttpOutcome Outcome = next();
  EXPECT_EQ(Outcome.Failure, TransferFailure::None) << Outcome.Detail;
  EXPECT_TRUE(Outcome.Sent);
  EXPECT_TRUE(Outcome.NewConnection);
  EXPECT_EQ(Outcome.Response.Status, 409);
  EXPECT_EQ(Outcome.Response.Body, "abc");
  ASSERT_NE(Outcome.Response.Headers.find("x-load"), nullptr);
  EXPECT_EQ(*Outcome.Response.Headers.find("x-load"), "3");
  EXPECT_EQ(Outcome.Response.Headers.find("x-interim"), nullptr);
}

TEST_F(HttpClientTest, SendsEveryMethodWithoutABody) {
  RawConnection Peer = warmUp();
  for (absl::string_view Method : {"GET", "DELETE", "PUT", "POST", "HEAD"}) {
    HttpCall Call = makeCall(Listener.address());
    Call.Method = std::string(Method);
    start(Call);
    EXPECT_THAT(Peer.readThrough("\r\n\r\n"),
                StartsWith(absl::StrCat(Method, " /t HTTP/1.1")));
    Peer.send("HTTP/1.1 204 No Content\r\n\r\n");
    HttpOutcome Outcome = next();
    EXPECT_EQ(Outcome.Response.Status, 204) << Outcome.Detail;
    EXPECT_FALSE(Outcome.NewConnection);
  }
}

TEST_F(HttpClientTest, ReportsNotSentWhenNobodyListens) {
  std::string Address = RawListener().address();
  start(makeCall(Address, "body"));
  HttpOutcome Outcome = next();
  EXPECT_EQ(Outcome.Failure, TransferFailure::NotSent);
  EXPECT_FALSE(Outcome.Sent);
}

TEST_F(HttpClientTest, ReportsNotSentForAMalformedCall) {
  HttpCall BadTarget = makeCall(Listener.address(), "body");
  BadTarget.Target = "/a b";
  HttpCall BadAddress = makeCall("user@127.0.0.1:1", "body");
  HttpCall BadHeader = makeCall(Listener.address(), "body");
  BadHeader.Headers.add("X-Name", "a\r\nX-Forged: b");
  for (const HttpCall &Call : {BadTarget, BadAddress, BadHeader}) {
    start(Call);
    HttpOutcome Outcome = next();
    EXPECT_EQ(Outcome.Failure, TransferFailure::NotSent);
    EXPECT_THAT(Outcome.Detail, StartsWith("malformed"));
  }
  EXPECT_FALSE(Listener.hasPending());
}

TEST_F(HttpClientTest, ReportsLostWhenTheConnectionEndsAfterTheRequest) {
  start(makeCall(Listener.address(), "body"));
  RawConnection Peer = Listener.accept();
  Peer.readThrough("body");
  Peer.close();
  HttpOutcome Outcome = next();
  EXPECT_EQ(Outcome.Failure, TransferFailure::Lost);
  EXPECT_TRUE(Outcome.Sent);
}

TEST_F(HttpClientTest, ReportsLostWhenTheResponseIsCutShort) {
  start(makeCall(Listener.address(), "body"));
  RawConnection Peer = Listener.accept();
  Peer.readThrough("body");
  Peer.send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc");
  Peer.close();
  EXPECT_EQ(next().Failure, TransferFailure::Lost);
}

TEST_F(HttpClientTest, NeverRepeatsABodyOnAReusedConnection) {
  RawConnection Peer = warmUp();
  start(makeCall(Listener.address(), "command"));
  Peer.readThrough("command");
  Peer.close();
  HttpOutcome Outcome = next();
  EXPECT_EQ(Outcome.Failure, TransferFailure::Lost);
  EXPECT_FALSE(Listener.hasPending());
}

TEST_F(HttpClientTest, NeverRepeatsABodylessRequestOnAReusedConnection) {
  for (absl::string_view Method : {"GET", "DELETE", "PUT", "POST", "HEAD"}) {
    RawConnection Peer = warmUp();
    HttpCall Call = makeCall(Listener.address());
    Call.Method = std::string(Method);
    start(Call);
    Peer.readThrough("\r\n\r\n");
    Peer.close();
    HttpOutcome Outcome = next();
    EXPECT_EQ(Outcome.Failure, TransferFailure::Lost) << Method;
    EXPECT_FALSE(Listener.hasPending()) << Method;
  }
}

TEST_F(HttpClientTest, TimesOutAfterTheRequestLeft) {
  HttpCall Call = makeCall(Listener.address(), "body");
  Call.Timeout = absl::Milliseconds(50);
  start(Call);
  HttpOutcome Outcome = next();
  EXPECT_EQ(Outcome.Failure, TransferFailure::TimedOut);
  EXPECT_TRUE(Outcome.Sent);
}

TEST_F(HttpClientTest, RefusesAResponseBeyondTheLimit) {
  HttpCall Call = makeCall(Listener.address(), "body");
  Call.MaxResponseBytes = 100;
  start(Call);
  RawConnection Peer = Listener.accept();
  Peer.readThrough("body");
  Peer.send(makeResponse(std::string(101, 'a')));
  EXPECT_EQ(next().Failure, TransferFailure::TooLarge);
  EXPECT_TRUE(Peer.waitForEnd());

  start(Call);
  RawConnection Flood = Listener.accept();
  Flood.readThrough("body");
  Flood.send("HTTP/1.1 200 OK\r\n");
  while (Flood.send(absl::StrCat("X-A: ", std::string(1000, 'a'), "\r\n"))) {
  }
  EXPECT_NE(next().Failure, TransferFailure::None);
}

TEST_F(HttpClientTest, KeepsTheConnectionWhenTheEchoIsRight) {
  start(makeEchoCall(Listener.address(), "id1"));
  RawConnection Peer = Listener.accept();
  Peer.readThrough("body");
  Peer.send(makeResponse("one", "id1"));
  EXPECT_FALSE(next().EchoMismatch);
  start(makeEchoCall(Listener.address(), "id2"));
  Peer.readThrough("body");
  Peer.send(makeResponse("two", "id2"));
  HttpOutcome Outcome = next();
  EXPECT_EQ(Outcome.Response.Body, "two");
  EXPECT_FALSE(Outcome.NewConnection);
}

TEST_F(HttpClientTest, ClosesTheConnectionWhenTheEchoIsWrongOrMissing) {
  for (absl::string_view Wrong : {"other", ""}) {
    start(makeEchoCall(Listener.address(), "id1"));
    RawConnection Peer = Listener.accept();
    Peer.readThrough("body");
    Peer.send(makeResponse("crossed", Wrong));
    HttpOutcome Outcome = next();
    EXPECT_EQ(Outcome.Failure, TransferFailure::None);
    EXPECT_TRUE(Outcome.EchoMismatch);
    EXPECT_TRUE(Peer.waitForEnd());
  }
}

TEST_F(HttpClientTest, TellsAnAnswerLeftOverFromItsOwn) {
  RawConnection Peer = warmUp();
  Peer.send(makeResponse("a second answer"));
  start(makeEchoCall(Listener.address(), "id1"));
  HttpOutcome Outcome = next();
  EXPECT_EQ(Outcome.Response.Body, "a second answer");
  EXPECT_TRUE(Outcome.EchoMismatch);
  EXPECT_TRUE(Peer.waitForEnd());
}

TEST_F(HttpClientTest, CancelClosesTheConnection) {
  HttpClient::CallId Id = start(makeCall(Listener.address(), "body"));
  RawConnection Peer = Listener.accept();
  Peer.readThrough("body");
  Client->cancel(Id);
  HttpOutcome Outcome = next();
  EXPECT_EQ(Outcome.Failure, TransferFailure::Cancelled);
  EXPECT_TRUE(Outcome.Sent);
  EXPECT_TRUE(Peer.waitForEnd());
  Client->cancel(Id);
  EXPECT_EQ(Outcomes.size(), 0u);
}

TEST_F(HttpClientTest, CompletesEveryCallAtDestruction) {
  for (int I = 0; I < 50; ++I)
    start(makeCall(Listener.address(), "body"));
  Client.reset();
  ASSERT_EQ(Outcomes.size(), 50u);
  for (int I = 0; I < 50; ++I)
    EXPECT_EQ(next().Failure, TransferFailure::Cancelled);
}

TEST_F(HttpClientTest, ManyCallsFromManyThreadsGetTheirOwnAnswers) {
  constexpr int Threads = 4;
  constexpr int CallsPerThread = 200;
  HttpServerOptions Options;
  Options.Listen = "127.0.0.1:0";
  auto Made = capture([&] {
    return HttpServer::make(
        Options, [](const auto &Request, const auto &Respond) {
          HttpResponse Response;
          Response.Headers.add("X-Request-Id",
                               *Request.Headers.find("X-Request-Id"));
          Response.Body = *Request.Headers.find("X-Request-Id");
          Respond(std::move(Response));
        });
  });
  auto &Server = std::get<std::unique_ptr<HttpServer>>(Made);
  std::string Address = absl::StrCat("127.0.0.1:", Server->port());
  std::atomic<int> Right{0};
  std::vector<std::thread> Starters;
  Starters.reserve(Threads);
  for (int T = 0; T < Threads; ++T)
    Starters.emplace_back([&, T] {
      for (int I = 0; I < CallsPerThread; ++I) {
        std::string Id = absl::StrCat(T, "-", I);
        Client->start(makeEchoCall(Address, Id), [&, Id](HttpOutcome Outcome) {
          Right += Outcome.Response.Body == Id && !Outcome.EchoMismatch;
          Outcomes.put(std::move(Outcome));
        });
      }
    });
  for (std::thread &Starter : Starters)
    Starter.join();
  for (int I = 0; I < Threads * CallsPerThread; ++I)
    EXPECT_EQ(next().Failure, TransferFailure::None);
  EXPECT_EQ(Right, Threads * CallsPerThread);
}

// The caller of a server whose answer had status 600, a blank in the name of a
// field or another protocol's version got it as an answer.
TEST_F(HttpClientTest, BrokenResponsesAreNone) {
  for (const BrokenAnswer &Answer : brokenAnswers()) {
    SCOPED_TRACE(Answer.Name);
    start(makeCall(Listener.address(), "body"));
    RawConnection Peer = Listener.accept();
    Peer.readThrough("body");
    Peer.send(Answer.Bytes);
    Peer.close();
    HttpOutcome Outcome = next();
    EXPECT_NE(Outcome.Failure, TransferFailure::None);
    // The server got the request and may have run it.
    EXPECT_NE(Outcome.Failure, TransferFailure::NotSent);
    EXPECT_TRUE(Outcome.Sent);
    EXPECT_EQ(Outcome.Response.Body, "");
    warmUp().close();
  }
}

TEST_F(HttpClientTest, TellsWhatWasWrongWithAResponse) {
  std::string Refused;
  HttpClient::Options Options;
  Options.OnBadResponse = [&](const std::string &Address,
                              absl::string_view Defect) {
    Refused = absl::StrCat(Address, " ", Defect);
  };
  Client = HttpClient::make(Options);
  start(makeCall(Listener.address(), "body"));
  RawConnection Peer = Listener.accept();
  Peer.readThrough("body");
  Peer.send("HTTP/1.1 200 OK\r\nX Name: secret\r\n\r\n");
  HttpOutcome Outcome = next();
  EXPECT_EQ(Outcome.Failure, TransferFailure::BadResponse);
  EXPECT_EQ(Outcome.Detail, "field_name");
  EXPECT_EQ(Refused, absl::StrCat(Listener.address(), " field_name"));
  EXPECT_TRUE(Peer.waitForEnd());
}

TEST_F(HttpClientTest, TrailerFieldsAreNoFieldsOfTheHead) {
  start(makeEchoCall(Listener.address(), "id1"));
  RawConnection Peer = Listener.accept();
  Peer.readThrough("body");
  Peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"
            "0\r\nX-Trailer: t\r\nX-Request-Id: id1\r\n\r\n");
  HttpOutcome Outcome = next();
  EXPECT_EQ(Outcome.Response.Body, "ab");
  EXPECT_EQ(Outcome.Response.Headers.find("X-Trailer"), nullptr);
  EXPECT_TRUE(Outcome.EchoMismatch);
}

namespace {

/// Most memory that the process has held so far, bytes.
std::size_t peakMemory() {
  rusage Usage = {};
  getrusage(RUSAGE_SELF, &Usage);
  return static_cast<std::size_t>(Usage.ru_maxrss) * 1024;
}

} // namespace

// Elsewhere the bytes of a response that did not end were kept until the
// process ran out of memory.
TEST_F(HttpClientTest, EndlessResponsesAreNotKept) {
  const std::string Long(65536, 'x');
  const std::string Chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::pair<std::string, std::string> Endless[] = {
      {"", Long},
      {"", "\r\n\r\n"},
      {"", std::string(4096, '\0')},
      {"HTTP/1.1 2", "0000000000"},
      {"HTTP/1.1 200 ", Long},
      {"HTTP/1.1 200 OK\r\n", "X-A: a\r\n"},
      {"HTTP/1.1 200 OK\r\n", Long},
      {"HTTP/1.1 200 OK\r\nX-A: ", Long},
      {"", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"HTTP/1.1 200 OK\r\n\r\n", Long},
      {Chunked, "1000\r\n" + std::string(4096, 'x') + "\r\n"},
      {Chunked + "5;x=", Long},
      {Chunked + "0\r\nX-A: ", Long},
      {Chunked + "0\r\n", "X-A: a\r\n"},
  };
  static constexpr std::size_t MaxGrowth = std::size_t{64} << 20;
  for (const auto &[Head, Piece] : Endless) {
    SCOPED_TRACE(Head + Piece.substr(0, 40));
    const std::size_t Before = peakMemory();
    HttpCall Call = makeCall(Listener.address(), "body");
    Call.Timeout = absl::Seconds(1);
    start(Call);
    RawConnection Peer = Listener.accept();
    Peer.readThrough("body");
    std::string Block;
    while (Block.size() < 65536)
      Block += Piece;
    Peer.send(Head);
    while (Peer.send(Block)) {
    }
    Peer.close();
    HttpOutcome Outcome = next();
    EXPECT_NE(Outcome.Failure, TransferFailure::None);
    EXPECT_TRUE(Outcome.Sent);
    EXPECT_LT(peakMemory() - Before, MaxGrowth);
  }
}
