#include "relay/ByteServer.h"
#include "relay/RelayWithStore.h"
#include "support/BrokenAnswers.h"
#include <gmock/gmock.h>

using namespace quetzallead;
using boost::asio::ip::tcp;
using testing::HasSubstr;
using testing::Not;

namespace {

/// A relay with a sound server and, of another service, one whose answers are
/// broken.
class BrokenAnswerTest : public RelayWithStore {
protected:
  BrokenAnswerTest() : BrokenAnswerTest("") {}
  explicit BrokenAnswerTest(const std::string &FieldsOfService)
      : Broken([this](tcp::socket &Peer, const ByteServer::Request &) {
          std::lock_guard<std::mutex> Lock(Mutex);
          ByteServer::send(Peer, Bytes);
          return false;
        }) {
    std::string Text = sheet(4, "/");
    const std::string Services = "\"services\": [";
    Text.insert(Text.find(Services) + Services.size(),
                absl::StrCat(R"({"name": "y", "max_conns": 100)",
                             FieldsOfService, "}, "));
    const std::string Routes = "\"routes\": [";
    Text.insert(Text.find(Routes) + Routes.size(),
                route("once", "non_idempotent", R"("service": "y")") +
                    route("again", "idempotent", R"("service": "y")") +
                    route("survey", "idempotent",
                          R"("gather": ["x", "y"], "top_k": 4,
                             "min_shard_ratio": 0.5)"));
    Store.put("op/config", Text);
    Store.put("servers/o-1",
              absl::StrCat(R"({"service": "y", "zone": "a", "slots": 100, )",
                           R"("born": 1, "state": "ready", "address": ")",
                           Broken.address(), "\"}"));
    await([&] { return ask() == 200; });
    absl::SleepFor(absl::Milliseconds(1500));
  }

  static std::string route(const std::string &Name, const std::string &Type,
                           const std::string &Servers) {
    return absl::StrCat(R"({"name": ")", Name,
                        R"(", "host": "h", "prefix": "/)", Name,
                        R"(/", "type": ")", Type,
                        R"(", "timeout_ms": 1000, "slo_ms": 500,
                            "priority": 1, "max_attempts": 1, )",
                        Servers, "}, ");
  }

  void setAnswer(const std::string &Given) {
    std::lock_guard<std::mutex> Lock(Mutex);
    Bytes = Given;
  }

  /// Asks until the broken server has got the request, which it may be spared
  /// for a while, and returns all that the caller got.
  std::string askBroken(const std::string &Path) {
    const int Before = Broken.Requests;
    const absl::Time GiveUpAt = absl::Now() + absl::Seconds(10);
    std::string Text;
    do
      Text = askForHead(Path, CallerPort);
    while (Broken.Requests == Before && absl::Now() < GiveUpAt);
    EXPECT_GT(Broken.Requests, Before);
    return Text;
  }

  std::mutex Mutex;
  std::string Bytes;
  ByteServer Broken;
};

} // namespace

// An answer with status 000 reached callers as "HTTP/1.1 0 OK".
TEST_F(BrokenAnswerTest, CallersGetNothingOfABrokenAnswer) {
  for (const BrokenAnswer &Answer : brokenAnswers()) {
    SCOPED_TRACE(Answer.Name);
    setAnswer(Answer.Bytes);
    for (const char *Path : {"/once/a", "/again/a"}) {
      const std::string Text = askBroken(Path);
      // The server got it, so that nothing may be promised.
      EXPECT_EQ(Text.substr(0, 12), "HTTP/1.1 502") << Path;
      EXPECT_THAT(Text, Not(HasSubstr(BrokenStamp)));
      EXPECT_THAT(Text, Not(HasSubstr(BrokenBody)));
    }
  }
  EXPECT_EQ(ask(), 200u);
}

TEST_F(BrokenAnswerTest, PartsOfASurveyDoNotCountIfBroken) {
  for (const BrokenAnswer &Answer : brokenAnswers()) {
    SCOPED_TRACE(Answer.Name);
    setAnswer(Answer.Bytes);
    const std::string Text = askBroken("/survey/12345678");
    EXPECT_EQ(Text.substr(0, 15), "HTTP/1.1 200 OK");
    EXPECT_THAT(Text, HasSubstr("Part-Stamps: s\r\n"));
    EXPECT_THAT(Text, HasSubstr("Missing-Parts: 1\r\n"));
    EXPECT_THAT(Text, Not(HasSubstr(BrokenBody)));
  }
}

// Bytes that belonged to no request passed for a success, if they were a
// response in HTTP/1.1.
TEST_F(BrokenAnswerTest, SuccessNeedsTheStampOfTheServer) {
  const std::string Rest = "Content-Length: 2\r\n\r\nok";
  for (const char *Head :
       {"HTTP/1.1 200 OK\r\n", "HTTP/1.1 201 OK\r\n", "HTTP/1.1 299 OK\r\n",
        "HTTP/1.1 200 OK\r\nServer-Stamp: \r\n"}) {
    setAnswer(Head + Rest);
    EXPECT_EQ(askBroken("/once/a").substr(0, 12), "HTTP/1.1 502") << Head;
    EXPECT_EQ(askBroken("/again/a").substr(0, 12), "HTTP/1.1 502") << Head;
  }
  setAnswer("HTTP/1.1 404 None\r\n" + Rest);
  EXPECT_EQ(askBroken("/once/a").substr(0, 12), "HTTP/1.1 404");
}

// A rejection with a status that is none was taken for the server's word that
// it had not run the request, and callers were told so.
TEST_F(BrokenAnswerTest, BrokenRejectionIsNoPromise) {
  for (const char *StatusLine :
       {"HTTP/1.1 000 Busy", "HTTP/1.1 099 Busy", "HTTP/1.1 600 Busy"}) {
    setAnswer(answerBytes(StatusLine, "Not-Executed: 1\r\nRetry-After: 1\r\n"));
    EXPECT_EQ(askBroken("/once/a").substr(0, 12), "HTTP/1.1 502") << StatusLine;
  }
}

// Fields after a body were taken for fields of the head: Not-Executed made a
// request that had run one that had not, and others were passed on.
TEST_F(BrokenAnswerTest, TrailerFieldsAreNoFieldsOfTheHead) {
  const std::string Chunked = "Transfer-Encoding: chunked\r\n";
  setAnswer(framedBytes(Chunked, "2\r\nok\r\n0\r\nNot-Executed: 1\r\n"
                                 "X-Trailer: t\r\nRequest-Id: other\r\n\r\n"));
  const std::string Text = askBroken("/once/a");
  EXPECT_EQ(Text.substr(0, 15), "HTTP/1.1 200 OK");
  EXPECT_THAT(Text, Not(HasSubstr("X-Trailer")));
  EXPECT_THAT(Text, Not(HasSubstr("Not-Executed")));
  EXPECT_THAT(Text, Not(HasSubstr("other")));
  EXPECT_THAT(Text, HasSubstr(BrokenStamp));
}

// The status made no difference, and neither did what the caller had asked for.
TEST_F(BrokenAnswerTest, LongTrailerEndedTheProcess) {
  const std::string Trailers[] = {"X-Name: " + std::string(65534, 'x') + "\r\n",
                                  std::string(65534, 'x') + ": 1\r\n"};
  for (const char *Status :
       {"200 OK", "404 Not Found", "421 Misdirected", "503 Busy"})
    for (const std::string &Trailer : Trailers) {
      setAnswer(framedBytes("Transfer-Encoding: chunked\r\nNot-Executed: 1\r\n",
                            "2\r\nok\r\n0\r\n" + Trailer + "\r\n",
                            absl::StrCat("HTTP/1.1 ", Status)));
      for (const char *Path : {"/once/a", "/again/a"})
        // The server may have run it: this is no answer, so no rejection.
        EXPECT_EQ(askBroken(Path).substr(0, 12), "HTTP/1.1 502")
            << Status << " " << Path;
    }
  EXPECT_EQ(ask(), 200u);
}

namespace {

/// The servers of the broken one's service start cold, and are asked whether
/// they are.
class BrokenProbeTest : public BrokenAnswerTest {
protected:
  BrokenProbeTest()
      : BrokenAnswerTest(R"(, "health_path": "/health", "warmup_s": 600,
                            "warmup_per_s": 0.001)") {}
};

} // namespace

// A health probe is answered like a request.
TEST_F(BrokenProbeTest, BrokenAnswerToAProbeTellsNothing) {
  setAnswer(answerBytes("HTTP/1.1 000 OK", "Warmup-Ms: 0\r\n"));
  absl::SleepFor(absl::Seconds(1));
  const int Before = Broken.Requests;
  // Probes go on, as long as none is answered.
  await([&] { return Broken.Requests > Before + 1; });
  setAnswer(
      framedBytes("Transfer-Encoding: chunked\r\nWarmup-Ms: 0\r\n",
                  "0\r\nX-Name: " + std::string(70000, 'x') + "\r\n\r\n"));
  const int BeforeTrailer = Broken.Requests;
  await([&] { return Broken.Requests > BeforeTrailer + 1; });
  setAnswer(answerBytes("HTTP/1.1 200 OK", "Warmup-Ms: 0\r\n"));
  await([&] { return ask("/again/a", CallerPort) == 200; });
}
