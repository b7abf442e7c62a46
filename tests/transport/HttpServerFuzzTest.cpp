#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "transport/RawConnection.h"
#include "transport/http/HttpServer.h"
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace quetzallead;

namespace {

constexpr std::size_t MaxBodyBytes = 1000;

std::unique_ptr<HttpServer> makeServer() {
  HttpServerOptions Options;
  Options.Listen = "127.0.0.1:0";
  Options.MaxBodyBytes = MaxBodyBytes;
  auto Made = capture([&] {
    return HttpServer::make(
        Options, [](const HttpRequest &Request, const auto &Respond) {
          HttpResponse Response;
          Response.Body = Request.Body;
          Respond(std::move(Response));
        });
  });
  return std::move(std::get<std::unique_ptr<HttpServer>>(Made));
}

std::string makeRequest(const std::string &Body) {
  return absl::StrCat("POST /v1/a?b=c HTTP/1.1\r\nHost: x\r\n",
                      "Content-Length: ", Body.size(), "\r\n\r\n", Body);
}

/// True if the server still answers a sound request.
bool answers(HttpServer &Server) {
  auto Peer = RawConnection::dial(Server.port());
  Peer.send(makeRequest("sound"));
  return absl::EndsWith(Peer.readResponse(), "\r\n\r\nsound");
}

/// Sends \p Bytes and leaves.
void throwAt(HttpServer &Server, absl::string_view Bytes) {
  auto Peer = RawConnection::dial(Server.port());
  Peer.send(Bytes);
}

} // namespace

RC_GTEST_PROP(HttpServerFuzzTest, SurvivesAnyBytes,
              (const std::vector<std::uint8_t> &Bytes)) {
  auto Server = makeServer();
  throwAt(*Server, std::string(Bytes.begin(), Bytes.end()));
  RC_ASSERT(answers(*Server));
}

RC_GTEST_PROP(HttpServerFuzzTest, SurvivesDamagedRequests, ()) {
  auto Server = makeServer();
  std::string Bytes = makeRequest(std::string(*rc::gen::inRange(0, 50), 'x'));
  int Changes = *rc::gen::inRange(1, 5);
  for (int I = 0; I < Changes; ++I) {
    auto At = *rc::gen::inRange<std::size_t>(0, Bytes.size());
    Bytes[At] = static_cast<char>(*rc::gen::inRange(0, 256));
  }
  throwAt(*Server, Bytes);
  RC_ASSERT(answers(*Server));
}

RC_GTEST_PROP(HttpServerFuzzTest, ReadsARequestHoweverItIsCut, ()) {
  auto Server = makeServer();
  std::string Bytes = makeRequest("whole body");
  auto Peer = RawConnection::dial(Server->port());
  auto Cut = *rc::gen::inRange<std::size_t>(0, Bytes.size());
  Peer.send(Bytes.substr(0, Cut));
  RC_ASSERT(answers(*Server));
  Peer.send(Bytes.substr(Cut));
  RC_ASSERT(absl::EndsWith(Peer.readResponse(), "\r\n\r\nwhole body"));
}

// The library crashed when it found a request malformed while it was being
// stopped.
TEST(HttpServerFuzzTest, StopsWhileDamagedRequestsArrive) {
  for (int Round = 0; Round < 200; ++Round) {
    auto Server = makeServer();
    std::vector<RawConnection> Peers;
    Peers.reserve(20);
    for (int I = 0; I < 20; ++I)
      Peers.push_back(RawConnection::dial(Server->port()));
    for (RawConnection &Peer : Peers)
      Peer.send("GET\x01/ HTTP/1.1\r\nHost x\r\n\r\n");
    Server.reset();
  }
}

TEST(HttpServerFuzzTest, BoundsHeadersAndTargets) {
  auto Server = makeServer();
  for (absl::string_view Start : {"GET /", "GET / HTTP/1.1\r\nX: "}) {
    auto Peer = RawConnection::dial(Server->port());
    Peer.send(Start);
    // The server gives up long before this much.
    std::string Chunk(64 << 10, 'a');
    for (int I = 0; I < 256; ++I)
      if (!Peer.send(Chunk))
        break;
    EXPECT_TRUE(Peer.waitForEnd());
  }
  EXPECT_TRUE(answers(*Server));
}
