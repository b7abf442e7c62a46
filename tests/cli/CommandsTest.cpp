#include "cli/Commands.h"
#include "transport/FakeHttpClient.h"
#include <fstream>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <sstream>

using namespace quetzallead;

static const std::string Example =
    QUETZALLEAD_SOURCE_DIR "/examples/escaparates/sheet.json";
static const std::string OtherExample =
    QUETZALLEAD_SOURCE_DIR "/examples/rahbar/sheet.json";

class CommandsTest : public testing::Test {
protected:
  ExitCode run(const std::vector<std::string> &Words) {
    std::vector<const char *> Args{"quetzallead"};
    for (const std::string &Word : Words)
      Args.push_back(Word.c_str());
    return runTool(static_cast<int>(Args.size()), Args.data(), Http, Out, Err,
                   [this](Duration Span) { Paused += Span; });
  }
  ExitCode submit(const std::vector<std::string> &More = {}) {
    std::vector<std::string> Words{"sheet",    "submit",      Example,
                                   "--author", "ana",         "--reason",
                                   "morning",  "--settle-ms", "5000"};
    Words.insert(Words.end(), More.begin(), More.end());
    return run(Words);
  }
  std::string submittedId(std::size_t CallIndex) {
    return nlohmann::json::parse(Http.Calls[CallIndex].Body)["submission_id"];
  }

  FakeHttpClient Http;
  std::ostringstream Out;
  std::ostringstream Err;
  Duration Paused;
};

static const char *const NoSheet = R"({"revision": 0})";

TEST_F(CommandsTest, HelpAndVersionEndWell) {
  EXPECT_EQ(run({"--help"}), ExitCode::Ok);
  EXPECT_NE(Out.str().find("sheet submit"), std::string::npos);
  EXPECT_EQ(run({"--version"}), ExitCode::Ok);
}

TEST_F(CommandsTest, WrongUsageIsNamed) {
  EXPECT_EQ(run({}), ExitCode::Usage);
  EXPECT_EQ(run({"--nonsense"}), ExitCode::Usage);
  EXPECT_EQ(run({"sheet", "submitt", "x"}), ExitCode::Usage);
  EXPECT_NE(Err.str().find("\"sheet submit\""), std::string::npos);
  EXPECT_EQ(run({"sheet", "check"}), ExitCode::Usage);
  EXPECT_EQ(run({"status", "--admin", "nowhere"}), ExitCode::Usage);
  EXPECT_TRUE(Http.Calls.empty());
}

TEST_F(CommandsTest, CheckNamesFileAndField) {
  EXPECT_EQ(run({"sheet", "check", Example}), ExitCode::Ok);
  EXPECT_NE(Out.str().find("4 services, 27 shards, 87 servers"),
            std::string::npos);
  EXPECT_EQ(run({"sheet", "check", "no/such/file"}), ExitCode::Refused);
  EXPECT_NE(Err.str().find("no/such/file"), std::string::npos);
}

TEST_F(CommandsTest, DiffOfTwoFiles) {
  EXPECT_EQ(run({"sheet", "diff", Example, OtherExample}), ExitCode::Ok);
  EXPECT_NE(Out.str().find("+ services[counter-desk]"), std::string::npos);
}

TEST_F(CommandsTest, SubmitTakesTheBaseFromTheSheetInForce) {
  Http.then(200, NoSheet);
  Http.then(200, R"({"outcome": "accepted", "revision": 1})");
  EXPECT_EQ(submit(), ExitCode::Ok);
  ASSERT_EQ(Http.Calls.size(), 2u);
  auto Body = nlohmann::json::parse(Http.Calls[1].Body);
  EXPECT_EQ(Body["base_revision"], 0);
  EXPECT_EQ(Body["author"], "ana");
}

TEST_F(CommandsTest, UnknownOutcomeIsAskedAgainWithTheSameId) {
  Http.then(200, NoSheet);
  Http.then(202, R"({"outcome": "unknown"})");
  Http.thenFail(TransferFailure::Lost);
  Http.then(503, R"({"outcome": "unavailable"})");
  Http.then(200, R"({"outcome": "accepted", "revision": 1})");
  EXPECT_EQ(submit(), ExitCode::Ok);
  ASSERT_EQ(Http.Calls.size(), 5u);
  EXPECT_EQ(submittedId(1), submittedId(4));
  EXPECT_GE(Paused, absl::Seconds(3));
}

TEST_F(CommandsTest, UnsettledSubmissionSaysHowToSettleIt) {
  Http.then(200, NoSheet);
  Http.answer(202, R"({"outcome": "unknown"})");
  EXPECT_EQ(submit(), ExitCode::Unknown);
  EXPECT_NE(Err.str().find("--id " + submittedId(1) + " --base 0"),
            std::string::npos);
}

TEST_F(CommandsTest, UnreachableBeforeAnythingWasSentIsNoUnknown) {
  Http.then(200, NoSheet);
  Http.thenFail(TransferFailure::NotSent);
  EXPECT_EQ(submit(), ExitCode::Unreachable);
  Http.then(503, R"({"outcome": "unavailable"})");
  EXPECT_EQ(submit({"--base", "0"}), ExitCode::Unreachable);
}

TEST_F(CommandsTest, SettlingAnEarlierIdNeverEndsInUnreachable) {
  Http.failWith(TransferFailure::NotSent);
  EXPECT_EQ(submit({"--base", "0", "--id", "s1"}), ExitCode::Unknown);
}

TEST_F(CommandsTest, ConflictAndRejectionHaveTheirCodes) {
  Http.then(409, R"({"outcome": "conflict", "revision": 2})");
  Http.then(200, NoSheet);
  EXPECT_EQ(submit({"--base", "1"}), ExitCode::Conflict);
  EXPECT_NE(Out.str().find("changes"), std::string::npos);
  Http.then(422, R"({"outcome": "rejected"})");
  EXPECT_EQ(submit({"--base", "1"}), ExitCode::Refused);
}

TEST_F(CommandsTest, ListsArePrintedAsTables) {
  Http.then(200, R"({"instances": [{"instance": "i1", "state": "alive"},
    {"instance": "second", "state": "a\nb"}]})");
  EXPECT_EQ(run({"instances"}), ExitCode::Ok);
  EXPECT_EQ(Out.str(), "instances:\ninstance  state\ni1        alive\n"
                       "second    a\\nb\n");
}

TEST_F(CommandsTest, CommandCarriesTheTicketOfItsSession) {
  Http.then(201, R"({"session_id": "x", "ticket": "t1"})");
  Http.then(200, R"({"run_state": "ran"})");
  EXPECT_EQ(run({"ask", "command", "enquiry-relay", "k", "{\"a\": 1}"}),
            ExitCode::Ok);
  ASSERT_EQ(Http.Calls.size(), 2u);
  EXPECT_EQ(Http.Calls[1].Target, "/v1/services/enquiry-relay/command");
  ASSERT_NE(Http.Calls[1].Headers.find("Idempotency-Key"), nullptr);
  EXPECT_EQ(*Http.Calls[1].Headers.find("Idempotency-Key"), "t1");
}

TEST_F(CommandsTest, LostCommandIsUnknown) {
  Http.then(201, R"({"session_id": "x", "ticket": "t1"})");
  Http.thenFail(TransferFailure::TimedOut);
  EXPECT_EQ(run({"ask", "command", "enquiry-relay", "k", "{}"}),
            ExitCode::Unknown);
}

TEST_F(CommandsTest, ExplainsARequestFromLogFiles) {
  const std::string Log = testing::TempDir() + "explain.log";
  std::ofstream(Log) << "not a line\n"
                     << "time=2026-03-22T18:59:01Z level=info instance=i "
                        "event=request_failed request=r outcome=refused\n";
  EXPECT_EQ(run({"explain", "request", "r", Log}), ExitCode::Ok);
  EXPECT_NE(Out.str().find("outcome refused"), std::string::npos) << Out.str();
  EXPECT_EQ(run({"explain", "request", "q", Log}), ExitCode::Refused);
  EXPECT_NE(Err.str().find("request q"), std::string::npos) << Err.str();
  EXPECT_EQ(run({"explain", "request", "r", Log + ".none"}), ExitCode::Usage);
  EXPECT_EQ(run({"explain", "request", "r"}), ExitCode::Usage);
  Out.str("");
  EXPECT_EQ(run({"explain", "server", "s", Log}), ExitCode::Refused);
  EXPECT_EQ(run({"--json", "explain", "request", "r", Log}), ExitCode::Ok);
  const auto Told = nlohmann::json::parse(Out.str());
  EXPECT_EQ(Told["lines"][0]["fields"]["outcome"], "refused");
  EXPECT_TRUE(Http.Calls.empty());
}
