#include "absl/strings/str_cat.h"
#include "support/ChildProcess.h"
#include "support/FakeProcess.h"
#include "support/TempFolder.h"
#include "support/TestDaemon.h"
#include "support/TestFleet.h"
#include "support/WaitUntil.h"
#include <gtest/gtest.h>

using namespace quetzallead;

namespace {

/// How a run of the tool ended.
struct ToolRun {
  int ExitCode = -1;
  std::string Output;
};

/// The tool's own process against daemons and fakes.
class CliProcessTest : public testing::Test {
protected:
  void SetUp() override {
    ASSERT_TRUE(Fleet.start()) << Fleet.problem();
    TokenFile = Folder.write("token", "test-operator-token\n");
  }

  ToolRun run(std::size_t Daemon, std::vector<std::string> Words) {
    for (const std::string &Word :
         {std::string("--admin"), Fleet.daemon(Daemon).Admin,
          std::string("--caller"), Fleet.daemon(Daemon).Caller,
          std::string("--token-file"), TokenFile})
      Words.push_back(Word);
    auto Child = ChildProcess::start(QUETZALLEAD_CLI, std::move(Words));
    ToolRun Ended;
    Ended.ExitCode = Child->wait(GenerousLimit).value_or(-1);
    Child->waitForOutput(std::string(1, '\0'), absl::Seconds(1));
    Ended.Output = Child->output();
    return Ended;
  }

  /// The file of a sheet whose first server has \p Slots.
  std::string sheetWithSlots(int Slots) {
    Fleet.sheet()["services"][0]["shards"][0]["servers"][0]["slots"] = Slots;
    return Folder.write(absl::StrCat("sheet-", Slots), Fleet.sheet().dump());
  }

  ToolRun submit(std::size_t Daemon, const std::string &File,
                 std::vector<std::string> More = {}) {
    std::vector<std::string> Words = {"sheet", "submit",   File,  "--author",
                                      "ana",   "--reason", "test"};
    Words.insert(Words.end(), More.begin(), More.end());
    return run(Daemon, std::move(Words));
  }

  TempFolder Folder;
  TestFleet Fleet{TestFleetOptions()};
  std::string TokenFile;
};

} // namespace

TEST_F(CliProcessTest, SubmittedSheetReachesEveryZone) {
  ToolRun Submitted = submit(0, sheetWithSlots(7));
  EXPECT_EQ(Submitted.ExitCode, 0) << Submitted.Output;
  EXPECT_NE(Submitted.Output.find("accepted"), std::string::npos);
  for (std::size_t Daemon = 0; Daemon < Fleet.size(); ++Daemon)
    EXPECT_TRUE(waitUntil([&] {
      return run(Daemon, {"sheet", "show"}).Output.find("\"slots\": 7") !=
             std::string::npos;
    }));
  ToolRun Audit = run(2, {"audit"});
  EXPECT_EQ(Audit.ExitCode, 0);
  EXPECT_NE(Audit.Output.find("ana"), std::string::npos) << Audit.Output;
}

TEST_F(CliProcessTest, RepeatedIdAtAnotherInstanceIsTheSameChange) {
  std::string File = sheetWithSlots(7);
  ToolRun First = submit(0, File, {"--id", "one", "--base", "1"});
  ToolRun Again = submit(1, File, {"--id", "one", "--base", "1"});
  EXPECT_EQ(First.ExitCode, 0) << First.Output;
  EXPECT_EQ(Again.ExitCode, 0) << Again.Output;
  EXPECT_EQ(First.Output, Again.Output);
}

TEST_F(CliProcessTest, LaterOperatorSeesTheConflict) {
  EXPECT_EQ(submit(0, sheetWithSlots(7), {"--base", "1"}).ExitCode, 0);
  ToolRun Later = submit(1, sheetWithSlots(8), {"--base", "1"});
  EXPECT_EQ(Later.ExitCode, 4) << Later.Output;
  EXPECT_NE(Later.Output.find("slots: 7 -> 8"), std::string::npos)
      << Later.Output;
}

TEST_F(CliProcessTest, LostAnswerOfTheStoreIsSettled) {
  ASSERT_TRUE(Fleet.platform()
                  .post("/faults", {{"lose_write_answers", 1}})
                  .is_object());
  ToolRun Submitted = submit(0, sheetWithSlots(7), {"--base", "1"});
  EXPECT_EQ(Submitted.ExitCode, 0) << Submitted.Output;
  EXPECT_NE(Submitted.Output.find("accepted"), std::string::npos);
}

TEST_F(CliProcessTest, StoreThatIsDownIsToldAsUnreachable) {
  ASSERT_TRUE(
      Fleet.platform().post("/faults", {{"outage", "refuse"}}).is_object());
  ToolRun Submitted = submit(0, sheetWithSlots(7), {"--base", "1"});
  EXPECT_EQ(Submitted.ExitCode, 3) << Submitted.Output;
  EXPECT_NE(Submitted.Output.find("unavailable"), std::string::npos);
}

TEST_F(CliProcessTest, OperatorsCallsAnswer) {
  for (const char *Call : {"status", "instances", "services", "servers"})
    EXPECT_EQ(run(0, {Call}).ExitCode, 0) << Call;
  EXPECT_EQ(run(0, {"sheet", "status"}).ExitCode, 0);
  EXPECT_EQ(run(0, {"explain", "no-such-request"}).ExitCode, 1);
}
