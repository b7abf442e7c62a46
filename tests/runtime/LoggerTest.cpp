#include "runtime/Logger.h"

#include "absl/strings/escaping.h"
#include "absl/strings/match.h"
#include <algorithm>
#include <cstdio>
#include <fstream>
#include <gtest/gtest.h>
#include <iterator>
#include <rapidcheck/gtest.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace quetzallead {
namespace {

std::vector<std::string> linesOf(const std::string &Path) {
  std::ifstream In(Path);
  std::vector<std::string> Lines;
  for (std::string Line; std::getline(In, Line);)
    Lines.push_back(Line);
  return Lines;
}

class LoggerTest : public ::testing::Test {
protected:
  LoggerTest()
      : Path(::testing::TempDir() + "quetzallead-logger-" +
             std::to_string(::getpid()) + ".log") {
    initLogging(LogLevel::Info, Path, "i-1 north");
  }
  ~LoggerTest() override {
    initLogging(LogLevel::Warning, "", "test");
    std::remove(Path.c_str());
  }
  std::string Path;
};

TEST_F(LoggerTest, WritesOneLineOfPairsPerEvent) {
  logEvent(LogLevel::Info, "started", {{"zone", "a"}, {"port", 8080}});
  const std::vector<std::string> Lines = linesOf(Path);
  ASSERT_EQ(Lines.size(), 1u);
  EXPECT_TRUE(absl::StartsWith(Lines[0], "time=2")) << Lines[0];
  EXPECT_TRUE(absl::EndsWith(Lines[0], " level=info instance=\"i-1 north\" "
                                       "event=started zone=a port=8080"))
      << Lines[0];
}

TEST_F(LoggerTest, InputCannotForgeALine) {
  logEvent(LogLevel::Warning, "refused",
           {{"caller", "x\ntime=now level=error event=forged"}});
  const std::vector<std::string> Lines = linesOf(Path);
  ASSERT_EQ(Lines.size(), 1u);
  EXPECT_TRUE(absl::EndsWith(
      Lines[0], "caller=\"x\\ntime=now level=error event=forged\""));
}

TEST_F(LoggerTest, DropsWhatIsBelowTheLeastLevel) {
  logEvent(LogLevel::Debug, "detail");
  EXPECT_TRUE(linesOf(Path).empty());
}

TEST_F(LoggerTest, ThreadsDoNotMixLines) {
  std::vector<std::thread> Threads;
  Threads.reserve(4);
  for (int I = 0; I < 4; ++I)
    Threads.emplace_back([I] {
      for (int J = 0; J < 50; ++J)
        logEvent(LogLevel::Info, "step", {{"thread", I}, {"step", J}});
    });
  for (std::thread &T : Threads)
    T.join();
  const std::vector<std::string> Lines = linesOf(Path);
  EXPECT_EQ(Lines.size(), 200u);
  for (const std::string &Line : Lines)
    EXPECT_EQ(Line.rfind("event="), Line.find("event="));
}

RC_GTEST_PROP(LogValueTest, EscapingIsReversibleAndPrintable,
              (const std::string &Value)) {
  const std::string Text = escapeLogValue(Value);
  RC_ASSERT(std::all_of(Text.begin(), Text.end(),
                        [](char C) { return C >= ' ' && C <= '~'; }));
  if (Text == Value) {
    RC_ASSERT(Text.find_first_of(" =\"") == std::string::npos);
    return;
  }
  RC_ASSERT(Text.front() == '"' && Text.back() == '"');
  std::string Back;
  RC_ASSERT(absl::CUnescape(Text.substr(1, Text.size() - 2), &Back));
  RC_ASSERT(Back == Value);
}

} // namespace
} // namespace quetzallead
