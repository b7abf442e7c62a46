#include "daemon/BackendCodec.h"
#include "transport/http/HttpClient.h"
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace quetzallead;

namespace {

HttpOutcome replied(int Status, const std::string &Body,
                    const std::string &Echo = "r-1") {
  HttpOutcome Outcome;
  Outcome.Response.Status = Status;
  Outcome.Response.Headers.add("X-Request-Id", Echo);
  Outcome.Response.Body = Body;
  return Outcome;
}

const char *const WholeReply =
    R"({"id":"r-1","epoch":2,"version":7,"from":"a","to":"","rows":[{"k":1}],
        "load":{"slots":2,"busy":1,"queued":3}})";

AttemptResult resultOf(const HttpOutcome &Outcome) {
  return decodeReply(Outcome, "r-1", false).Result;
}

} // namespace

TEST(BackendCodecTest, ReadsAWholeReply) {
  DecodedReply Reply = decodeReply(replied(200, WholeReply), "r-1", false);
  ASSERT_EQ(Reply.Result, AttemptResult::Answered);
  EXPECT_EQ(Reply.Reply.Taken, (Snapshot{2, 7}));
  EXPECT_EQ(Reply.Reply.From, "a");
  EXPECT_EQ(Reply.Reply.Rows.size(), 1u);
  ASSERT_TRUE(Reply.Load);
  EXPECT_EQ(Reply.Load->Queued, 3);
}

TEST(BackendCodecTest, ReplyToAnotherRequestIsNeverAnAnswer) {
  EXPECT_EQ(resultOf(replied(200, WholeReply, "r-2")), AttemptResult::BadReply);
  std::string Other = WholeReply;
  Other.replace(Other.find("r-1"), 3, "r-2");
  EXPECT_EQ(resultOf(replied(200, Other)), AttemptResult::BadReply);
}

TEST(BackendCodecTest, RefusalsThatProveNotRun) {
  auto Refused = [](int Status, const char *Word) {
    return resultOf(replied(Status, std::string(R"({"id":"r-1","error":")") +
                                        Word + "\"}"));
  };
  EXPECT_EQ(Refused(503, "draining"), AttemptResult::Draining);
  EXPECT_EQ(Refused(503, "starting"), AttemptResult::Starting);
  EXPECT_EQ(Refused(429, "shed"), AttemptResult::Shed);
  EXPECT_EQ(Refused(409, "version"), AttemptResult::WrongVersion);
  EXPECT_EQ(Refused(504, "deadline"), AttemptResult::Expired);
}

TEST(BackendCodecTest, AnythingElseProvesNothing) {
  auto NotProven = [](const HttpOutcome &Outcome) {
    return !provesNotRun(resultOf(Outcome));
  };
  EXPECT_TRUE(NotProven(replied(503, R"({"id":"r-1","error":"other"})")));
  EXPECT_TRUE(NotProven(replied(503, "<html>")));
  EXPECT_TRUE(NotProven(replied(500, R"({"id":"r-1"})")));
  EXPECT_TRUE(NotProven(replied(504, R"({"id":"r-1","error":"gateway"})")));
  EXPECT_TRUE(NotProven(replied(499, R"({"id":"r-1","error":"cancelled"})")));
  HttpOutcome Lost;
  Lost.Failure = TransferFailure::Lost;
  EXPECT_TRUE(NotProven(Lost));
  Lost.Failure = TransferFailure::TimedOut;
  EXPECT_TRUE(NotProven(Lost));
  Lost.Failure = TransferFailure::TooLarge;
  EXPECT_TRUE(NotProven(Lost));
  Lost.Failure = TransferFailure::BadResponse;
  EXPECT_TRUE(NotProven(Lost));
}

TEST(BackendCodecTest, ADeeplyNestedReplyIsRefused) {
  std::string Deep(1'000'000, '[');
  std::string Reply = R"({"id":"r-1","epoch":2,"version":7,"from":"","to":"",)";
  Reply += "\"rows\":" + Deep + std::string(1'000'000, ']') + "}";
  EXPECT_EQ(resultOf(replied(200, Reply)), AttemptResult::BadReply);
  EXPECT_EQ(resultOf(replied(
                200, R"({"id":"r-1","epoch":2,"version":7,"from":"","to":"",)"
                     R"("rows":[{"k":"\"[[[["}]})")),
            AttemptResult::Answered);
}

RC_GTEST_PROP(BackendCodecPropertyTest, GarbageIsNeverAnAnswer,
              (const std::string &Garbage)) {
  RC_ASSERT(resultOf(replied(200, Garbage)) == AttemptResult::BadReply);
}

RC_GTEST_PROP(BackendCodecPropertyTest, ACutReplyIsNeverAnAnswer, ()) {
  std::string Whole = WholeReply;
  auto Size = *rc::gen::inRange<std::size_t>(0, Whole.size());
  RC_ASSERT(resultOf(replied(200, Whole.substr(0, Size))) ==
            AttemptResult::BadReply);
}
