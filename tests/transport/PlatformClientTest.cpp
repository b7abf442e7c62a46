#include "transport/platform/PlatformClient.h"
#include "transport/FakeHttpClient.h"
#include "transport/platform/PlatformReplies.h"
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace quetzallead;

class PlatformClientTest : public testing::Test {
protected:
  KvReply read() {
    KvReply Got;
    Client.read("quetzallead/sheet", [&](const KvReply &R) { Got = R; });
    return Got;
  }
  WriteOutcome swap() {
    WriteOutcome Got = WriteOutcome::Unknown;
    Client.compareAndSwap("k", "v", 7,
                          [&](const WriteReply &R) { Got = R.Outcome; });
    return Got;
  }

  FakeHttpClient Http;
  PlatformClient Client{Http, {"127.0.0.1:8500", absl::Seconds(2)}};
};

TEST_F(PlatformClientTest, ReadDecodesTheEntry) {
  Http.answer(200, R"([{"Key": "quetzallead/sheet", "Value": "aGk=",
    "ModifyIndex": 12, "LockIndex": 0}])");
  Http.Next.Response.Headers.add("x-consul-index", "15");
  KvReply Got = read();
  ASSERT_EQ(Got.Outcome, ReadOutcome::Answered);
  ASSERT_TRUE(Got.Entry.has_value());
  EXPECT_EQ(Got.Entry->Value, "hi");
  EXPECT_EQ(Got.Entry->ModifyIndex, 12u);
  EXPECT_EQ(Got.Index, 15u);
  EXPECT_EQ(Http.Calls[0].Target, "/v1/kv/quetzallead/sheet");
}

TEST_F(PlatformClientTest, AbsentKeyIsAnAnswer) {
  Http.answer(404, "");
  KvReply Got = read();
  EXPECT_EQ(Got.Outcome, ReadOutcome::Answered);
  EXPECT_FALSE(Got.Entry.has_value());
}

TEST_F(PlatformClientTest, WatchWaitsLongerThanItsWait) {
  Http.answer(404, "");
  Client.watch("k", 9, absl::Seconds(10), [](const KvReply &) {});
  EXPECT_EQ(Http.Calls[0].Target, "/v1/kv/k?index=9&wait=10000ms");
  EXPECT_GT(Http.Calls[0].Timeout, absl::Seconds(12));
}

TEST_F(PlatformClientTest, EachEndOfAWriteHasItsOutcome) {
  Http.answer(200, "true\n");
  EXPECT_EQ(swap(), WriteOutcome::Applied);
  EXPECT_EQ(Http.Calls[0].Target, "/v1/kv/k?cas=7");
  Http.answer(200, "false");
  EXPECT_EQ(swap(), WriteOutcome::Refused);
  Http.answer(200, "<html>");
  EXPECT_EQ(swap(), WriteOutcome::Unknown);
  Http.answer(500, "");
  EXPECT_EQ(swap(), WriteOutcome::Unknown);
  Http.answer(429, "");
  EXPECT_EQ(swap(), WriteOutcome::Unavailable);
  Http.failWith(TransferFailure::NotSent);
  EXPECT_EQ(swap(), WriteOutcome::Unavailable);
  Http.failWith(TransferFailure::TimedOutNotSent);
  EXPECT_EQ(swap(), WriteOutcome::Unavailable);
  for (TransferFailure Failure :
       {TransferFailure::Lost, TransferFailure::TimedOut,
        TransferFailure::Cancelled, TransferFailure::TooLarge}) {
    Http.failWith(Failure);
    EXPECT_EQ(swap(), WriteOutcome::Unknown);
  }
}

TEST_F(PlatformClientTest, SessionsAreCreatedAndRenewed) {
  Http.answer(200, R"({"ID": "abc"})");
  SessionReply Created;
  Client.createSession(absl::Seconds(15),
                       [&](const SessionReply &R) { Created = R; });
  EXPECT_EQ(Created.Id, "abc");
  EXPECT_NE(Http.Calls[0].Body.find("\"15s\""), std::string::npos);
  Http.answer(404, "");
  WriteReply Renewed;
  Client.renewSession("abc", [&](const WriteReply &R) { Renewed = R; });
  EXPECT_EQ(Renewed.Outcome, WriteOutcome::Refused);
}

TEST_F(PlatformClientTest, ListIsReadAndWritten) {
  Http.answer(200, R"([{"Node": "n1", "Address": "10.0.0.1",
    "ServiceAddress": "", "ServicePort": 9,
    "ServiceMeta": {"zone": "a", "state": "leaving"}}])");
  CatalogReply Got;
  Client.list("quetzallead", [&](const CatalogReply &R) { Got = R; });
  ASSERT_EQ(Got.Entries.size(), 1u);
  CatalogEntry Expected{"n1", "10.0.0.1:9", "a", true};
  EXPECT_EQ(Got.Entries[0], Expected);
  WriteReply Written;
  Client.enlist("quetzallead", Expected,
                [&](const WriteReply &R) { Written = R; });
  EXPECT_EQ(Written.Outcome, WriteOutcome::Applied);
  EXPECT_NE(Http.Calls[1].Body.find("\"Port\":9"), std::string::npos);
}

RC_GTEST_PROP(PlatformRepliesTest, AnyBytesGiveATypedOutcome, ()) {
  HttpOutcome Http;
  Http.Response.Body = *rc::gen::oneOf(
      rc::gen::arbitrary<std::string>(),
      rc::gen::map(rc::gen::arbitrary<std::string>(),
                   [](const std::string &Text) {
                     return "[{\"Key\":\"k\",\"ModifyIndex\":1,\"Value\":\"" +
                            Text + "\"}]";
                   }),
      rc::gen::container<std::string>(
          rc::gen::elementOf(std::string("[]{}\":,1e-N"))));
  KvReply Kv = readKvReply(Http);
  RC_ASSERT(Kv.Outcome != ReadOutcome::Unavailable);
  RC_ASSERT((Kv.Outcome == ReadOutcome::Answered) == Kv.Entry.has_value());
  CatalogReply Catalog = readCatalogReply(Http);
  RC_ASSERT(Catalog.Outcome != ReadOutcome::Unavailable);
  RC_ASSERT(readSessionReply(Http).Outcome != WriteOutcome::Unavailable);
  RC_ASSERT(readCasReply(Http).Outcome != WriteOutcome::Unavailable);
}
