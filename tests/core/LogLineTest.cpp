#include "core/base/LogLine.h"
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace quetzallead;

TEST(LogLineTest, ReadsALineWithItsPrefix) {
  const auto Line = parseLogLine(
      "  24.7 front-a-1 time=2026-03-22T18:59:09.7Z level=info instance=i-1 "
      "event=request_failed request=7a0b missing=\"x() y(a@0!,b@3)\" ms=0\n");
  ASSERT_TRUE(Line);
  EXPECT_EQ(Line->Time, "2026-03-22T18:59:09.7Z");
  EXPECT_EQ(Line->Instance, "i-1");
  EXPECT_EQ(Line->Event, "request_failed");
  ASSERT_NE(Line->find("missing"), nullptr);
  EXPECT_EQ(*Line->find("missing"), "x() y(a@0!,b@3)");
  EXPECT_EQ(*Line->find("ms"), "0");
  EXPECT_EQ(Line->find("level"), nullptr);
}

TEST(LogLineTest, UnescapesValues) {
  const auto Line =
      parseLogLine(R"(time=t event=e text="a \"b\" \x0a event=forged" n=1)");
  ASSERT_TRUE(Line);
  EXPECT_EQ(*Line->find("text"), "a \"b\" \n event=forged");
  EXPECT_EQ(Line->Event, "e");
}

TEST(LogLineTest, RefusesWhatIsNoLine) {
  for (const char *Text :
       {"", "hello", "time=t", "time=t event=e rest", "time=t event=e x=\"open",
        "time=t event=e x=\"\\q\"", "time="})
    EXPECT_FALSE(parseLogLine(Text)) << Text;
}

RC_GTEST_PROP(LogLineTest, SurvivesAnyText, (const std::string &Text)) {
  parseLogLine(Text);
  parseLogLine("time=t event=e " + Text);
}
