#include "daemon/CommandResponse.h"
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace quetzallead;
using nlohmann::json;

namespace {

json responseTo(const std::string &Reply) {
  CommandAnswer Answer;
  Answer.Status = CommandStatus::Answered;
  Answer.State = RunState::Ran;
  Answer.Body = Reply;
  return json::parse(commandResponse("r-1", "register", "s0", Answer).Body);
}

} // namespace

TEST(CommandResponseTest, CarriesTheSnapshotOfTheReply) {
  // Both are numbers of 64 bits.
  const json Body = responseTo(
      R"({"epoch": 4294967297, "version": 18446744073709551615, "rows": [1]})");
  EXPECT_EQ(Body["snapshot"]["epoch"], 4294967297u);
  EXPECT_EQ(Body["snapshot"]["version"], 18446744073709551615u);
  EXPECT_EQ(Body["rows"], json::array({1}));
}

// An epoch or a version of another type ended the daemon.
TEST(CommandResponseTest, FieldsOfAnotherTypeEndedTheProcess) {
  for (const char *Value : {"\"x\"", "null", "true", "[]", "{}", "-1", "1.5",
                            "1e400", "\"\\ud800\""}) {
    const json Body =
        responseTo(std::string(R"({"epoch": )") + Value + R"(, "version": )" +
                   Value + R"(, "rows": )" + Value + "}");
    EXPECT_EQ(Body["snapshot"]["epoch"], 0) << Value;
    EXPECT_EQ(Body["snapshot"]["version"], 0) << Value;
  }
  for (const char *Reply : {"", "[]", "null", "\"x\"", "{\"epoch\": \"\xff\"}"})
    EXPECT_EQ(responseTo(Reply)["rows"], json::array()) << Reply;
}
