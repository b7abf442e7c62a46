#include "load/TierCaller.h"
#include "absl/strings/str_cat.h"
#include "load/Arrival.h"
#include "load/LoadPlan.h"
#include "load/LoadRecord.h"
#include "load/LoadRunner.h"
#include "runtime/TimerService.h"
#include "transport/http/HttpClient.h"
#include "transport/http/HttpServer.h"
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace quetzallead {
namespace {

/// Answers as an instance would, and remembers the tickets and tokens it got.
class FakeInstance {
public:
  FakeInstance() {
    auto Made = capture([this] {
      HttpServerOptions Options;
      Options.Listen = "127.0.0.1:0";
      return HttpServer::make(Options,
                              [this](const HttpRequest &Request,
                                     const HttpServer::Responder &Respond) {
                                Respond(answer(Request));
                              });
    });
    Server = std::move(std::get<std::unique_ptr<HttpServer>>(Made));
  }

  std::string address() const {
    return absl::StrCat("127.0.0.1:", Server->port());
  }
  std::vector<std::string> tokens() const {
    PosixMutexLock Guard(&Lock);
    return Tokens;
  }
  std::vector<std::string> tickets() const {
    PosixMutexLock Guard(&Lock);
    return Tickets;
  }

private:
  HttpResponse answer(const HttpRequest &Request) {
    PosixMutexLock Guard(&Lock);
    HttpResponse Response;
    const std::string Id = absl::StrCat("r", ++Count);
    Response.Headers.add("X-Request-Id", Id);
    Response.Headers.add("Quetzallead-Session", absl::StrCat("token-", Count));
    if (Request.Path == "/v1/sessions") {
      Response.Status = 201;
      return Response;
    }
    const std::string *Token = Request.Headers.find("Quetzallead-Session");
    Tokens.push_back(Token ? *Token : "");
    const std::string *Ticket = Request.Headers.find("Idempotency-Key");
    if (!Ticket) {
      Response.Status = 428;
      Response.Headers.add("Quetzallead-Ticket", absl::StrCat("t", Count));
      return Response;
    }
    Tickets.push_back(*Ticket);
    Response.Body = absl::StrCat(R"({"request_id": ")", Id,
                                 R"(", "service": "s", "run_state": "ran",
            "snapshot": {"epoch": 1, "version": 1}, "rows": [],
            "coverage": {"wanted": 1, "covered": 1, "complete": true,
                         "missing": []}})");
    return Response;
  }

  mutable PosixMutex Lock;
  int Count ABSL_GUARDED_BY(Lock) = 0;
  std::vector<std::string> Tokens ABSL_GUARDED_BY(Lock);
  std::vector<std::string> Tickets ABSL_GUARDED_BY(Lock);
  std::unique_ptr<HttpServer> Server;
};

LoadPlan makeCommandPlan() {
  LoadPlan Plan;
  Plan.Sessions = 1;
  Plan.Streams.resize(1);
  Plan.Streams[0].Kind = RequestKind::Command;
  Plan.Streams[0].Service = "s";
  Plan.Streams[0].Keys = {"k"};
  Plan.Streams[0].Timeout = absl::Seconds(10);
  return Plan;
}

TEST(TierCallerTest, CommandIsSentAgainWithTheTicketOfItsRefusal) {
  FakeInstance Instance;
  const LoadPlan Plan = makeCommandPlan();
  const auto Timer = TimerService::make();
  const auto Client = HttpClient::make({});
  const auto Caller =
      TierCaller::make(Plan, {Instance.address()}, *Client, *Timer);
  EXPECT_EQ(Caller->openSessions(), 1U);
  const auto Records =
      runLoad({Arrival{}}, Timer->now(), *Timer,
              [&](const Arrival &Next, TimePoint Intended, RecordSink Sink) {
                Caller->send(Next, Intended, std::move(Sink));
              });
  ASSERT_EQ(Records.size(), 1U);
  EXPECT_TRUE(Records[0].whole());
  EXPECT_EQ(Instance.tickets(), std::vector<std::string>{"t2"});
  EXPECT_EQ(Instance.tokens(),
            (std::vector<std::string>{"token-1", "token-1"}));
}

TEST(TierCallerTest, UnreachableInstanceIsRecordedAsFailed) {
  const LoadPlan Plan = makeCommandPlan();
  const auto Timer = TimerService::make();
  const auto Client = HttpClient::make({});
  // Port 1 of loopback has no listener.
  const auto Caller = TierCaller::make(Plan, {"127.0.0.1:1"}, *Client, *Timer);
  EXPECT_EQ(Caller->openSessions(), 0U);
  const auto Records =
      runLoad({Arrival{}}, Timer->now(), *Timer,
              [&](const Arrival &Next, TimePoint Intended, RecordSink Sink) {
                Caller->send(Next, Intended, std::move(Sink));
              });
  EXPECT_EQ(Records.at(0).Status, 0);
  EXPECT_EQ(Records.at(0).Fault, AnswerFault::None);
}

TEST(TierCallerTest, NeedsATarget) {
  const LoadPlan Plan = makeCommandPlan();
  const auto Timer = TimerService::make();
  const auto Client = HttpClient::make({});
  EXPECT_EQ(TierCaller::make(Plan, {}, *Client, *Timer), nullptr);
}

} // namespace
} // namespace quetzallead
