#include "load/AnswerChecker.h"
#include "load/LoadRecord.h"
#include "transport/http/HttpMessage.h"
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace quetzallead {
namespace {

using nlohmann::json;

json makeBody() {
  return json::parse(R"({"request_id": "r1", "service": "s", "run_state": "ran",
    "snapshot": {"epoch": 1, "version": 4},
    "coverage": {"wanted": 3, "covered": 2, "complete": false,
      "missing": [{"shard": "s2", "from": "p", "to": "", "reason": "timeout"}]},
    "rows": [{"key": "a", "shard": "s0", "version": 4},
             {"key": "h", "shard": "s1", "version": 4}]})");
}

class AnswerCheckerTest : public testing::Test {
protected:
  AnswerFault faultOf(const json &Body, int Status = 200,
                      const std::string &HeaderId = "r1") {
    HttpResponse Response;
    Response.Status = Status;
    Response.Body = Body.dump();
    Response.Headers.add("X-Request-Id", HeaderId);
    Response.Headers.add("Retry-After-Ms", "250");
    Record = LoadRecord();
    Record.Kind = Kind;
    AnswerChecker().check(Expected, Response, Record);
    return Record.Fault;
  }

  RequestKind Kind = RequestKind::Survey;
  AnswerExpectation Expected{"s", "", 0};
  LoadRecord Record;
};

TEST_F(AnswerCheckerTest, AcceptsTrueAnswer) {
  EXPECT_EQ(faultOf(makeBody()), AnswerFault::None);
  EXPECT_EQ(Record.CoverageWanted, 3);
  EXPECT_EQ(Record.CoverageCovered, 2);
  EXPECT_EQ(Record.Missing, (std::map<std::string, int>{{"timeout", 1}}));
  EXPECT_EQ(Record.Version, 4U);
  EXPECT_EQ(Record.State, RunState::Ran);
  EXPECT_EQ(Record.RetryAfter, absl::Milliseconds(250));
  EXPECT_FALSE(Record.whole());
}

TEST_F(AnswerCheckerTest, FindsWrongIdentity) {
  EXPECT_EQ(faultOf(makeBody(), 200, "r2"), AnswerFault::WrongId);
  Expected.Service = "t";
  EXPECT_EQ(faultOf(makeBody()), AnswerFault::WrongService);
  Expected.Service = "s";
  Kind = RequestKind::Lookup;
  Expected.Key = "b";
  EXPECT_EQ(faultOf(makeBody()), AnswerFault::WrongKey);
}

TEST_F(AnswerCheckerTest, FindsRepeatedId) {
  AnswerChecker Checker;
  HttpResponse Response;
  Response.Body = makeBody().dump();
  Response.Headers.add("X-Request-Id", "r1");
  Checker.check(Expected, Response, Record);
  EXPECT_EQ(Record.Fault, AnswerFault::None);
  Checker.check(Expected, Response, Record);
  EXPECT_EQ(Record.Fault, AnswerFault::RepeatedId);
}

TEST_F(AnswerCheckerTest, FindsMixedOrOlderSnapshot) {
  json Body = makeBody();
  Body["rows"][1]["version"] = 5;
  EXPECT_EQ(faultOf(Body), AnswerFault::MixedSnapshots);
  Expected.SeenVersion = 5;
  EXPECT_EQ(faultOf(makeBody()), AnswerFault::OlderSnapshot);
}

TEST_F(AnswerCheckerTest, FindsFalseCoverage) {
  json Body = makeBody();
  Body["coverage"]["covered"] = 3;
  EXPECT_EQ(faultOf(Body), AnswerFault::WrongCoverage);
  Body = makeBody();
  Body["coverage"]["complete"] = true;
  EXPECT_EQ(faultOf(Body), AnswerFault::WrongCoverage);
  Body = makeBody();
  Body["rows"][1]["shard"] = "s2";
  EXPECT_EQ(faultOf(Body), AnswerFault::WrongCoverage);
  Body = makeBody();
  Body["rows"].push_back({{"key", "z"}, {"shard", "s9"}, {"version", 4}});
  EXPECT_EQ(faultOf(Body), AnswerFault::WrongCoverage);
}

TEST_F(AnswerCheckerTest, FindsRepeatedRow) {
  json Body = makeBody();
  Body["rows"].push_back(Body["rows"][0]);
  EXPECT_EQ(faultOf(Body), AnswerFault::RepeatedRow);
}

TEST_F(AnswerCheckerTest, RefusalMustSayNotRun) {
  const json Problem = {{"request_id", "r1"}, {"run_state", "unknown"}};
  EXPECT_EQ(faultOf(Problem, 429), AnswerFault::WrongRunState);
  EXPECT_EQ(faultOf(Problem, 504), AnswerFault::None);
}

TEST_F(AnswerCheckerTest, MalformedBodyIsAFault) {
  EXPECT_EQ(faultOf(json::array()), AnswerFault::Malformed);
  json Body = makeBody();
  Body.erase("coverage");
  EXPECT_EQ(faultOf(Body), AnswerFault::Malformed);
}

} // namespace
} // namespace quetzallead
