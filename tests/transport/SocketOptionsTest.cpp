#include "support/LiveSockets.h"
#include "transport/Inbox.h"
#include "transport/http/HttpClient.h"
#include "transport/http/HttpServer.h"
#include <algorithm>
#include <gtest/gtest.h>

using namespace quetzallead;

// The libraries must not set TCP_USER_TIMEOUT by themselves: it would also
// decide when keep-alive probes give up.
TEST(SocketOptionsTest, HttpLibrariesSetNoUserTimeout) {
  HttpServerOptions ServerOptions;
  ServerOptions.Listen = "127.0.0.1:0";
  Inbox<std::vector<LiveSocket>> Seen;
  auto MadeServer = capture([&] {
    return HttpServer::make(ServerOptions,
                            [&](const HttpRequest &, const auto &Respond) {
                              // The connection is open at both ends.
                              Seen.put(liveSockets());
                              HttpResponse Response;
                              Response.Status = 200;
                              Respond(Response);
                            });
  });
  ASSERT_EQ(MadeServer.index(), 0u);
  auto &Server = std::get<0>(MadeServer);
  auto Client = HttpClient::make({});
  HttpCall Call;
  Call.Method = "GET";
  Call.Address = "127.0.0.1:" + std::to_string(Server->port());
  Call.Target = "/";
  Call.Timeout = absl::Seconds(30);
  Inbox<HttpOutcome> Outcomes;
  Client->start(std::move(Call),
                [&](HttpOutcome Outcome) { Outcomes.put(std::move(Outcome)); });
  const auto Sockets = Seen.next().value_or(std::vector<LiveSocket>());
  int Ends = 0;
  for (const LiveSocket &S : Sockets) {
    if (S.LocalPort != Server->port() && S.PeerPort != Server->port())
      continue;
    ++Ends;
    EXPECT_EQ(S.UserTimeoutMillis, 0);
    EXPECT_FALSE(S.KeepAlive);
  }
  EXPECT_EQ(Ends, 2);
  EXPECT_EQ(Outcomes.next().value_or(HttpOutcome()).Response.Status, 200);
}
