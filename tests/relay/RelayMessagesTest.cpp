#include "relay/RelayMessages.h"
#include "platform/PlatformHeaders.h"
#include "platform/PlatformServers.h"
#include "platform/PlatformSheet.h"
#include <boost/beast/http/parser.hpp>
#include <gtest/gtest.h>

using namespace quetzallead;
namespace http = boost::beast::http;

namespace {

const TimePoint Start = absl::UnixEpoch() + absl::Hours(1);

HttpRequest parseRequest(const std::string &Text) {
  http::request_parser<http::string_body> Parser;
  Parser.eager(true);
  boost::system::error_code EC;
  Parser.put(boost::asio::buffer(Text), EC);
  EXPECT_TRUE(Parser.is_done()) << EC.message();
  return Parser.release();
}

HttpExchangeResult parseResponse(const std::string &Text) {
  http::response_parser<http::string_body> Parser;
  Parser.eager(true);
  boost::system::error_code EC;
  Parser.put(boost::asio::buffer(Text), EC);
  EXPECT_TRUE(Parser.is_done()) << EC.message();
  HttpExchangeResult End;
  End.Result = AttemptResult::Answered;
  End.Response = std::make_shared<HttpResponse>(Parser.release());
  return End;
}

StoreItem serverItem(const std::string &Value) {
  return StoreItem{"servers/i-1", Value, 7, false};
}

} // namespace

TEST(RelayMessagesTest, ForwardsEndToEndHeaders) {
  const HeaderNames Names = platformHeaderNames();
  HttpRequest Request = parseRequest(
      "POST /a/b?q=%20 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: 9\r\n"
      "Deadline-Ms: 600\r\nTarget-Instance: forged\r\nConnection: x-hop\r\n"
      "X-Hop: 1\r\nX-End: 2\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  const ForwardedRequest Call = decodeRequest(Request, Names, Start);
  EXPECT_EQ(Call.RequestId, "9");
  EXPECT_EQ(Call.RemainingTime, absl::Milliseconds(600));
  EXPECT_EQ(encodeAttempt(Call, Names, "i-1", absl::Milliseconds(550.9)),
            "POST /a/b?q=%20 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: 9\r\n"
            "X-End: 2\r\nDeadline-Ms: 550\r\nTarget-Instance: i-1\r\n"
            "Content-Length: 5\r\n\r\nabcde");
}

TEST(RelayMessagesTest, IgnoresInvalidTimeLeft) {
  const HeaderNames Names = platformHeaderNames();
  for (const char *Text : {"", "abc", "-1", "nan", "inf", "1e12"}) {
    HttpRequest Request =
        parseRequest(std::string("GET / HTTP/1.1\r\nHost: h\r\nDeadline-Ms: ") +
                     Text + "\r\n\r\n");
    EXPECT_FALSE(decodeRequest(Request, Names, Start).RemainingTime) << Text;
  }
}

TEST(RelayMessagesTest, DecodesNotExecutedResponses) {
  const HeaderNames Names = platformHeaderNames();
  EXPECT_EQ(decodeExchangeResult(
                parseResponse("HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n"
                              "Server-Load: 2,5,2\r\n"
                              "Content-Length: 0\r\n\r\n"),
                Names)
                .Result,
            AttemptResult::Shed);
  EXPECT_EQ(decodeExchangeResult(parseResponse("HTTP/1.1 421 Misdirected\r\n"
                                               "Content-Length: 0\r\n\r\n"),
                                 Names)
                .Result,
            AttemptResult::Draining);
  // A request answered 503 without Not-Executed may have been executed.
  const AttemptEnd End = decodeExchangeResult(
      parseResponse("HTTP/1.1 503 Busy\r\nServer-Load: 2,5,2\r\n"
                    "Content-Length: 0\r\n\r\n"),
      Names);
  EXPECT_EQ(End.Result, AttemptResult::Answered);
  EXPECT_EQ(End.Load->Queued, 5);
}

TEST(RelayMessagesTest, RelaysResponseUnchanged) {
  const HeaderNames Names = platformHeaderNames();
  const AttemptEnd End = decodeExchangeResult(
      parseResponse("HTTP/1.1 201 Made So\r\nServer-Stamp: s\r\n"
                    "Connection: close\r\nX-A: 1\r\nServer-Leaving: 1\r\n"
                    "Server-Limit: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "2\r\nok\r\n0\r\n\r\n"),
      Names);
  RelayResult Verdict;
  Verdict.Outcome = RelayOutcome::Relayed;
  Verdict.Responses = {End.Response};
  EXPECT_EQ(encodeResponse(Verdict, 0, Names, false, true),
            "HTTP/1.1 201 Made So\r\nServer-Stamp: s\r\nX-A: 1\r\n"
            "Content-Length: 2\r\n\r\nok");
}

TEST(RelayMessagesTest, ServerSaysThatItLeavesByOneValueOnly) {
  const HeaderNames Names = platformHeaderNames();
  const std::pair<const char *, bool> Cases[] = {
      {"Server-Leaving: 1\r\n", true},
      {"server-leaving:  1 \r\n", true},
      {"Server-Leaving: 0\r\nServer-Leaving: 1\r\n", true},
      {"Server-Leaving: 0\r\n", false},
      {"Server-Leaving: 11\r\n", false},
      {"Server-Leaving:\r\n", false},
      {"X: 1\r\n", false}};
  for (const auto &[Header, Leaves] : Cases) {
    const HttpExchangeResult End =
        parseResponse(std::string("HTTP/1.1 200 OK\r\n") + Header +
                      "Content-Length: 0\r\n\r\n");
    EXPECT_EQ(saysLeaving(*End.Response, Names), Leaves) << Header;
  }
}

TEST(RelayMessagesTest, LowestLimitThatCanBeReadCounts) {
  const HeaderNames Names = platformHeaderNames();
  const std::pair<const char *, std::optional<double>> Cases[] = {
      {"X: 1\r\n", std::nullopt},
      {"Server-Limit: 12.5\r\n", 12.5},
      {"server-limit:  0 \r\n", 0},
      {"Server-Limit: 9\r\nServer-Limit: 3\r\n", 3},
      {"Server-Limit: 9\r\nServer-Limit: -3\r\n", 9},
      {"Server-Limit: 1e99\r\n", 1e99},
      {"Server-Limit: 1e999\r\n", -1},
      {"Server-Limit: -1\r\n", -1},
      {"Server-Limit: nan\r\n", -1},
      {"Server-Limit: inf\r\n", -1},
      {"Server-Limit: few\r\n", -1},
      {"Server-Limit:\r\n", -1}};
  for (const auto &[Header, PerSecond] : Cases) {
    const HttpExchangeResult End =
        parseResponse(std::string("HTTP/1.1 200 OK\r\n") + Header +
                      "Content-Length: 0\r\n\r\n");
    EXPECT_EQ(namedLimit(*End.Response, Names), PerSecond) << Header;
  }
}

TEST(RelayMessagesTest, LongestRetryAfterOfARejectionIsThePause) {
  const Duration None = absl::ZeroDuration();
  const std::pair<const char *, Duration> Cases[] = {
      {"503 Busy\r\nRetry-After: 2\r\n", absl::Seconds(2)},
      {"503 Busy\r\nRetry-After: 0.25\r\nretry-after: 1\r\n", absl::Seconds(1)},
      {"503 Busy\r\nRetry-After: 3\r\nRetry-After: soon\r\n", absl::Seconds(3)},
      {"503 Busy\r\nRetry-After: 0\r\n", None},
      {"503 Busy\r\n", None},
      {"429 Busy\r\nRetry-After: 2\r\n", None},
      {"200 OK\r\nRetry-After: 2\r\n", None}};
  for (const auto &[Head, Pause] : Cases) {
    const HttpExchangeResult End = parseResponse(
        std::string("HTTP/1.1 ") + Head + "Content-Length: 0\r\n\r\n");
    EXPECT_EQ(requestedPause(*End.Response), Pause) << Head;
  }
  for (const char *Value : {"-1", "", "soon", "nan", "inf", "1e999"}) {
    const HttpExchangeResult End =
        parseResponse(std::string("HTTP/1.1 503 Busy\r\nRetry-After: ") +
                      Value + "\r\nContent-Length: 0\r\n\r\n");
    EXPECT_LT(requestedPause(*End.Response), None) << Value;
  }
}

TEST(RelayMessagesTest, SurveyResponseListsItsParts) {
  const HeaderNames Names = platformHeaderNames();
  RelayResult Verdict;
  Verdict.Outcome = RelayOutcome::Merged;
  for (char Record : {'a', 'b'}) {
    auto Part = std::make_shared<BackendResponse>();
    Part->Stamp = std::string(1, Record) + ".stamp";
    Part->Body = std::string(16, Record);
    Verdict.Responses.push_back(Part);
  }
  Verdict.MissingParts = 1;
  EXPECT_EQ(encodeResponse(Verdict, 1, Names, false, false),
            "HTTP/1.1 200 OK\r\nPart-Stamps: a.stamp, b.stamp\r\n"
            "Missing-Parts: 1\r\nConnection: close\r\n"
            "Content-Length: 16\r\n\r\n" +
                std::string(16, 'b'));
}

TEST(RelayMessagesTest, OnlyRejectionsAreServiceUnavailable) {
  const HeaderNames Names = platformHeaderNames();
  RelayResult Verdict;
  Verdict.RetryAfter = absl::Milliseconds(250);
  Verdict.Outcome = RelayOutcome::Rejected;
  EXPECT_EQ(encodeResponse(Verdict, 0, Names, false, true),
            "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.250\r\n"
            "Content-Length: 0\r\n\r\n");
  Verdict.Outcome = RelayOutcome::Failed;
  EXPECT_EQ(encodeResponse(Verdict, 0, Names, false, true).substr(9, 3), "502");
  Verdict.Outcome = RelayOutcome::TimedOut;
  EXPECT_EQ(encodeResponse(Verdict, 0, Names, false, true).substr(9, 3), "504");
}

TEST(PlatformSheetTest, DecodesEachKindOfRoute) {
  auto Decoded = capture([] {
    return decodePlatformSheet(R"({"version": 7, "routes": [
      {"name": "s", "host": "h", "prefix": "/s/", "type": "idempotent",
       "timeout_ms": 600, "slo_ms": 40, "priority": 2, "max_attempts": 2,
       "gather": ["x", "y"], "top_k": 5, "min_shard_ratio": 0.75},
      {"name": "o", "host": "h", "prefix": "/o/", "type": "non_idempotent",
       "timeout_ms": 4000, "slo_ms": 250, "priority": 1, "service": "z"},
      {"name": "w", "host": "h", "prefix": "/w/", "type": "idempotent",
       "traffic_split": [{"service": "x", "weight": 3},
                         {"service": "z", "weight": 1}]}],
      "services": [{"name": "x", "max_conns": 26}],
      "limits": {"max_header_bytes": 100, "max_body_bytes": 200,
                 "header_timeout_ms": 300, "idle_timeout_ms": 400}})");
  });
  ASSERT_TRUE(std::holds_alternative<RouteSheet>(Decoded));
  const auto &Sheet = std::get<RouteSheet>(Decoded);
  EXPECT_EQ(Sheet.Version, 7u);
  ASSERT_EQ(Sheet.Routes.size(), 3u);
  EXPECT_EQ(Sheet.Routes[0].Target, RouteTarget::Survey);
  EXPECT_EQ(Sheet.Routes[0].MaxRecords, 5u);
  EXPECT_EQ(Sheet.Routes[0].MinCoverage, 0.75);
  EXPECT_EQ(Sheet.Routes[0].Objective, absl::Milliseconds(40));
  EXPECT_EQ(Sheet.Routes[1].Kind, RequestKind::AtMostOnce);
  EXPECT_EQ(Sheet.Routes[2].Target, RouteTarget::Split);
  EXPECT_EQ(Sheet.Routes[2].Services[0].Weight, 3);
  EXPECT_EQ(Sheet.Services.at("x").ConnectionLimit, 26);
  EXPECT_EQ(Sheet.Limits.IdleTimeout, absl::Milliseconds(400));
}

TEST(PlatformSheetTest, RejectsInvalidSheets) {
  for (const char *Text :
       {"", "[]", "{}", R"({"version": "7", "routes": [], "services": []})",
        R"({"version": 7, "routes": [{"name": "r"}], "services": []})",
        R"({"version": 7, "routes": [{"name": "r", "host": "h",
            "prefix": "/", "type": "idempotent", "gather": []}],
            "services": []})"}) {
    auto Decoded = capture([&] { return decodePlatformSheet(Text); });
    EXPECT_TRUE(std::holds_alternative<Error>(Decoded)) << Text;
  }
}

TEST(PlatformServersTest, DecodesServerEntry) {
  const FeedEntry Entry = decodePlatformServer(serverItem(
      R"({"service": "x", "address": "10.0.0.1:80", "zone": "a", "slots": 2,
          "state": "draining", "warmup_left_ms": 900, "born": 1700000000123,
          "seq": 4})"));
  ASSERT_TRUE(Entry.Server);
  EXPECT_EQ(Entry.Id, "i-1");
  EXPECT_EQ(Entry.Server->Service, "x");
  EXPECT_TRUE(Entry.Server->Draining);
  EXPECT_EQ(Entry.Server->WarmUpLeft, absl::Milliseconds(900));
  EXPECT_EQ(Entry.Server->StartedAtMillis, 1700000000123);
}

TEST(PlatformServersTest, InvalidEntryHasNoServer) {
  for (const char *Text :
       {"\xff\xfe", "3", "{}",
        R"({"service": "x", "address": 5, "zone": "a", "slots": 2,
            "state": "ready"})",
        R"({"service": "x", "address": "h:80", "zone": "a", "slots": 2,
            "state": "ready"})",
        R"({"service": "x", "address": "10.0.0.1:80", "zone": "a",
            "slots": 2, "state": "resting"})"}) {
    const FeedEntry Entry = decodePlatformServer(serverItem(Text));
    EXPECT_FALSE(Entry.Server) << Text;
    EXPECT_EQ(Entry.Revision, 7u);
  }
}
