#include "platform/PlatformHeaders.h"
#include "relay/BackendClient.h"
#include "relay/CallerSession.h"
#include "relay/LinkMessages.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <gtest/gtest.h>

using namespace quetzallead;
using boost::asio::ip::tcp;

namespace {

constexpr char Secret[] = "0123456789abcdef";

/// A home's end of a connection between instances, and the asking instance's
/// end, which grants each claim.
class AttemptClaimTest : public testing::Test {
protected:
  AttemptClaimTest()
      : Timers(Loop), Backends(Loop, Timers),
        Listener(Loop,
                 tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)),
        Home(std::make_shared<PoolServer>()) {
    Home->Info.Address =
        "127.0.0.1:" + std::to_string(Listener.local_endpoint().port());
    Handlers.OnRequest = [this](const std::shared_ptr<CallerSession> &Session,
                                const HttpRequest &Request) {
      const auto Info = decodeLinkRequest(Request, Names, Secret);
      ASSERT_TRUE(Info);
      if (Info->GrantsAttempts) {
        ++LateGrants;
        Session->skipResponse();
        return;
      }
      Asker = Session;
      ++Requests;
      Session->acknowledge();
      Session->sendInformational(encodeAttemptClaim(Call.RequestId, Secret));
      if (AnswersAtOnce)
        answer();
    };
    Handlers.OnMessage = [this](CallerSession &, const HttpRequest &Message) {
      const auto Info = decodeLinkRequest(Message, Names, Secret);
      if (!Info || !Info->GrantsAttempts)
        return false;
      EXPECT_EQ(std::string(Message[Names.RequestId]), Call.RequestId);
      ++Grants;
      return true;
    };
    Handlers.OnDisconnected = [](CallerSession &) {};
    Handlers.OnClosed = [](CallerSession &) {};
    Handlers.Limits = [] { return ClientLimits(); };
    Handlers.ShouldClose = [] { return false; };
    Listener.async_accept(
        [this](const boost::system::error_code &Fault, tcp::socket Socket) {
          ASSERT_FALSE(Fault);
          std::make_shared<CallerSession>(std::move(Socket), Timers, Handlers)
              ->start();
        });
    Call.Method = "GET";
    Call.Target = "/a";
    Call.Host = "h";
    Call.RequestId = "r1";
    Call.Headers = Names.RequestId + ": r1\r\n";
  }

  void send() {
    LinkRequestInfo Info;
    Info.LastAttemptHeldBack = true;
    HttpExchange Exchange;
    Exchange.Bytes =
        encodeLinkRequest(Call, Names, Info, absl::Seconds(5), Secret);
    Exchange.Deadline = LoopTimers::now() + absl::Seconds(5);
    Exchange.OnInformational = [this](const HttpResponseHead &Head) {
      if (!isAttemptClaim(Head, Call.RequestId, Secret)) {
        ++Acknowledgements;
        return;
      }
      ++Claims;
      Connection->sendMessage(encodeAttemptGrant(Call, Names, Secret));
    };
    End.reset();
    Connection =
        Backends.send(Home, std::move(Exchange),
                      [this](const HttpExchangeResult &Given) { End = Given; });
  }
  void answer() { Asker->respond(encodeLinkBody("body", true), true); }
  template <typename Fn> void runUntil(Fn Done) {
    const TimePoint GiveUpAt = LoopTimers::now() + absl::Seconds(10);
    Loop.restart();
    while (!Done() && LoopTimers::now() < GiveUpAt)
      Loop.run_one_for(std::chrono::milliseconds(20));
    EXPECT_TRUE(Done());
  }

  const HeaderNames Names = platformHeaderNames();
  boost::asio::io_context Loop;
  LoopTimers Timers;
  BackendClient Backends;
  tcp::acceptor Listener;
  ServerRef Home;
  CallerHandlers Handlers;
  ForwardedRequest Call;
  std::shared_ptr<CallerSession> Asker;
  std::shared_ptr<HttpConnection> Connection;
  std::optional<HttpExchangeResult> End;
  bool AnswersAtOnce = false;
  int Requests = 0;
  int Acknowledgements = 0;
  int Claims = 0;
  int Grants = 0;
  int LateGrants = 0;
};

} // namespace

TEST_F(AttemptClaimTest, IsGrantedWhileTheRequestIsServed) {
  for (int I = 1; I <= 3; ++I) {
    send();
    runUntil([&] { return Grants == I; });
    EXPECT_FALSE(End);
    answer();
    runUntil([&] { return End.has_value(); });
    EXPECT_EQ(End->Result, AttemptResult::Answered);
    EXPECT_EQ(End->Response->body(), "body");
  }
  // One connection has carried them all.
  EXPECT_EQ(Requests, 3);
  EXPECT_EQ(Acknowledgements, 3);
  EXPECT_EQ(Claims, 3);
  EXPECT_EQ(LateGrants, 0);
}

TEST_F(AttemptClaimTest, GrantThatArrivesAfterTheAnswerIsNoRequest) {
  AnswersAtOnce = true;
  for (int I = 1; I <= 3; ++I) {
    send();
    runUntil([&] { return End.has_value(); });
    EXPECT_EQ(End->Result, AttemptResult::Answered);
  }
  runUntil([&] { return LateGrants == 3; });
  EXPECT_EQ(Requests, 3);
  EXPECT_EQ(Grants, 0);
}

TEST(AttemptClaimMessagesTest, ClaimIsSignedForItsRequest) {
  auto IsClaim = [](const std::string &Bytes, const std::string &Id,
                    const std::string &Key) {
    boost::beast::http::response_parser<boost::beast::http::string_body> Parser;
    boost::system::error_code Fault;
    Parser.put(boost::asio::buffer(Bytes), Fault);
    EXPECT_FALSE(Fault) << Fault.message();
    return isAttemptClaim(Parser.get().base(), Id, Key);
  };
  const std::string Claim = encodeAttemptClaim("r1", Secret);
  EXPECT_TRUE(IsClaim(Claim, "r1", Secret));
  EXPECT_FALSE(IsClaim(Claim, "r2", Secret));
  EXPECT_FALSE(IsClaim(Claim, "r1", "other"));
  EXPECT_FALSE(IsClaim(encodeAttemptClaim("r1", ""), "r1", ""));
  EXPECT_FALSE(IsClaim("HTTP/1.1 102 Processing\r\n\r\n", "r1", Secret));
}
