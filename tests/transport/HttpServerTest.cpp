#include "transport/http/HttpServer.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "transport/RawConnection.h"
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <mutex>
#include <random>
#include <thread>

using namespace quetzallead;
using testing::HasSubstr;
using testing::StartsWith;

namespace {

std::unique_ptr<HttpServer> serve(HttpServer::Handler OnRequest,
                                  std::size_t MaxBodyBytes = 1 << 20) {
  HttpServerOptions Options;
  Options.Listen = "127.0.0.1:0";
  Options.MaxBodyBytes = MaxBodyBytes;
  auto Made =
      capture([&] { return HttpServer::make(Options, std::move(OnRequest)); });
  if (auto *Server = std::get_if<std::unique_ptr<HttpServer>>(&Made))
    return std::move(*Server);
  ADD_FAILURE() << std::get<Error>(Made).text();
  return nullptr;
}

HttpResponse response(int Status, std::string Body) {
  HttpResponse R;
  R.Status = Status;
  R.Body = std::move(Body);
  return R;
}

void echo(const HttpRequest &Request, const HttpServer::Responder &Respond) {
  Respond(response(200, Request.Body));
}

std::string post(absl::string_view Target, absl::string_view Body) {
  return absl::StrCat("POST ", Target, " HTTP/1.1\r\nHost: x\r\n",
                      "Content-Length: ", Body.size(), "\r\n\r\n", Body);
}

/// Keeps responders until the test lets them answer.
class Parked {
public:
  HttpServer::Handler handler() {
    return [this](const HttpRequest &Request, HttpServer::Responder Respond) {
      std::lock_guard<std::mutex> Guard(Lock);
      Waiting.emplace_back(Request.Body, std::move(Respond));
    };
  }
  std::vector<std::pair<std::string, HttpServer::Responder>>
  take(std::size_t Count) {
    for (;;) {
      {
        std::lock_guard<std::mutex> Guard(Lock);
        if (Waiting.size() >= Count)
          return std::exchange(Waiting, {});
      }
      std::this_thread::yield();
    }
  }

private:
  std::mutex Lock;
  std::vector<std::pair<std::string, HttpServer::Responder>> Waiting;
};

} // namespace

TEST(HttpServerTest, HandsOverTheWholeRequest) {
  HttpRequest Seen;
  auto Server = serve([&](HttpRequest Request, const auto &Respond) {
    Seen = std::move(Request);
    HttpResponse R = response(201, "made");
    R.Headers.add("X-Request-Id", "r1");
    R.Headers.add("Content-Length", "99");
    Respond(std::move(R));
  });
  auto Peer = RawConnection::dial(Server->port());
  Peer.send("PUT /v1/a%20b?cas=3&flag HTTP/1.1\r\nHost: x\r\nX-Name: v\r\n"
            "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n"
            "0\r\n\r\n");
  std::string Answer = Peer.readResponse();
  EXPECT_THAT(Answer, StartsWith("HTTP/1.1 201"));
  EXPECT_THAT(Answer, HasSubstr("X-Request-Id: r1\r\n"));
  EXPECT_TRUE(absl::EndsWith(Answer, "\r\n\r\nmade"));
  EXPECT_EQ(Seen.Method, "PUT");
  EXPECT_EQ(Seen.Path, "/v1/a b");
  EXPECT_EQ(Seen.Body, "abcde");
  ASSERT_NE(Seen.Query.find("cas"), nullptr);
  EXPECT_EQ(*Seen.Query.find("cas"), "3");
  EXPECT_NE(Seen.Query.find("flag"), nullptr);
  ASSERT_NE(Seen.Headers.find("x-name"), nullptr);
  EXPECT_EQ(*Seen.Headers.find("x-name"), "v");
}

TEST(HttpServerTest, AnswersManyRequestsOnOneConnection) {
  auto Server = serve(echo);
  auto Peer = RawConnection::dial(Server->port());
  for (int I = 0; I < 20; ++I) {
    Peer.send(post("/", absl::StrCat("body", I)));
    EXPECT_TRUE(absl::EndsWith(Peer.readResponse(), absl::StrCat("body", I)));
  }
}

TEST(HttpServerTest, RefusesABodyBeyondTheLimit) {
  auto Server = serve(echo, 1000);
  auto Exact = RawConnection::dial(Server->port());
  Exact.send(post("/", std::string(1000, 'a')));
  EXPECT_THAT(Exact.readResponse(), StartsWith("HTTP/1.1 200"));
  auto Over = RawConnection::dial(Server->port());
  Over.send(post("/", std::string(1001, 'a')));
  EXPECT_THAT(Over.readResponse(), StartsWith("HTTP/1.1 413"));
  auto Announced = RawConnection::dial(Server->port());
  Announced.send("POST / HTTP/1.1\r\nHost: x\r\n"
                 "Content-Length: 100000000\r\n\r\n");
  EXPECT_THAT(Announced.readResponse(), StartsWith("HTTP/1.1 413"));
  auto Chunked = RawConnection::dial(Server->port());
  Chunked.send("POST / HTTP/1.1\r\nHost: x\r\n"
               "Transfer-Encoding: chunked\r\n\r\n");
  std::string Chunk = absl::StrCat("400\r\n", std::string(1024, 'a'), "\r\n");
  for (int I = 0; I < 100; ++I)
    if (!Chunked.send(Chunk))
      break;
  EXPECT_TRUE(Chunked.waitForEnd());
}

TEST(HttpServerTest, RefusesMalformedRequests) {
  int Calls = 0;
  auto Server = serve([&](const auto &, const auto &Respond) {
    ++Calls;
    Respond(response(200, ""));
  });
  for (absl::string_view Bad :
       {"GET /a%00b HTTP/1.1\r\nHost: x\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n",
        "GET http://[ HTTP/1.1\r\nHost: x\r\n\r\n", "GET / HTTP/1.1\r\n\r\n"}) {
    auto Peer = RawConnection::dial(Server->port());
    Peer.send(Bad);
    EXPECT_THAT(Peer.readResponse(), StartsWith("HTTP/1.1 4")) << Bad;
  }
  // The library ends a connection whose first line is no request line at all.
  auto Stranger = RawConnection::dial(Server->port());
  Stranger.send("nonsense\r\n\r\n");
  EXPECT_EQ(Stranger.readResponse(), "");
  EXPECT_TRUE(Stranger.waitForEnd());
  EXPECT_EQ(Calls, 0);
}

TEST(HttpServerTest, AnswersLaterAndOutOfOrderWithoutCrossing) {
  Parked Handler;
  auto Server = serve(Handler.handler());
  std::vector<RawConnection> Peers;
  for (int I = 0; I < 40; ++I) {
    Peers.push_back(RawConnection::dial(Server->port()));
    Peers.back().send(post("/", absl::StrCat("body", I)));
  }
  auto Waiting = Handler.take(Peers.size());
  EXPECT_EQ(Server->inFlight(), 40);
  std::shuffle(Waiting.begin(), Waiting.end(), std::mt19937(7));
  std::vector<std::thread> Threads;
  for (std::size_t T = 0; T < 4; ++T)
    Threads.emplace_back([&, T] {
      for (std::size_t I = T; I < Waiting.size(); I += 4) {
        Waiting[I].second(response(200, Waiting[I].first));
        Waiting[I].second(response(200, "a second answer is ignored"));
      }
    });
  for (std::thread &T : Threads)
    T.join();
  for (std::size_t I = 0; I < Peers.size(); ++I)
    EXPECT_TRUE(
        absl::EndsWith(Peers[I].readResponse(), absl::StrCat("\nbody", I)));
}

TEST(HttpServerTest, SurvivesCallersThatLeave) {
  Parked Handler;
  auto Server = serve(Handler.handler());
  for (int I = 0; I < 20; ++I) {
    auto Peer = RawConnection::dial(Server->port());
    Peer.send(post("/", "x"));
    auto Waiting = Handler.take(1);
    Peer.reset();
    Waiting[0].second(response(200, "late"));
  }
  auto Half = RawConnection::dial(Server->port());
  Half.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc");
  Half.reset();
  auto Peer = RawConnection::dial(Server->port());
  Peer.send(post("/", "y"));
  Handler.take(1)[0].second(response(200, "fine"));
  EXPECT_TRUE(absl::EndsWith(Peer.readResponse(), "fine"));
}

TEST(HttpServerTest, AnswersWhenTheResponderIsDropped) {
  auto Server = serve([](const auto &, const auto &) {});
  auto Peer = RawConnection::dial(Server->port());
  Peer.send(post("/", ""));
  EXPECT_THAT(Peer.readResponse(), StartsWith("HTTP/1.1 500"));
}

TEST(HttpServerTest, ClosesAfterAnswersAndStopsAccepting) {
  Parked Handler;
  auto Server = serve(Handler.handler());
  auto Peer = RawConnection::dial(Server->port());
  Peer.send(post("/", "x"));
  auto Waiting = Handler.take(1);
  Server->closeAfterAnswers();
  Server->stopAccepting();
  EXPECT_FALSE(RawConnection::dial(Server->port()).isOpen());
  Waiting[0].second(response(200, "last"));
  std::string Answer = Peer.readResponse();
  EXPECT_THAT(Answer, HasSubstr("Connection: close\r\n"));
  EXPECT_TRUE(absl::EndsWith(Answer, "last"));
  EXPECT_TRUE(Peer.waitForEnd());
}

TEST(HttpServerTest, AnswersWaitingRequestsAtDestruction) {
  Parked Handler;
  auto Server = serve(Handler.handler());
  auto First = RawConnection::dial(Server->port());
  auto Second = RawConnection::dial(Server->port());
  First.send(post("/", "a"));
  Second.send(post("/", "b"));
  auto Waiting = Handler.take(2);
  Server.reset();
  EXPECT_THAT(First.readResponse(), StartsWith("HTTP/1.1 503"));
  EXPECT_THAT(Second.readResponse(), StartsWith("HTTP/1.1 503"));
  Waiting[0].second(response(200, "too late"));
}

TEST(HttpServerTest, ReportsAnAddressThatCannotBeBound) {
  auto Server = serve(echo);
  for (const std::string &Listen :
       {absl::StrCat("127.0.0.1:", Server->port()), std::string("127.0.0.1"),
        std::string("x:1")}) {
    HttpServerOptions Options;
    Options.Listen = Listen;
    auto Made = capture([&] { return HttpServer::make(Options, echo); });
    ASSERT_TRUE(std::holds_alternative<Error>(Made)) << Listen;
    EXPECT_EQ(std::get<Error>(Made).Where, Listen);
  }
}
