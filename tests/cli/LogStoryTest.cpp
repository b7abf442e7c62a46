#include "cli/LogStory.h"
#include "absl/strings/match.h"
#include <gtest/gtest.h>

using namespace quetzallead;

namespace {

LogLine line(const std::string &Second, const std::string &Instance,
             const std::string &Rest) {
  const auto Line =
      parseLogLine("time=2026-03-22T18:59:" + Second +
                   "Z level=info instance=" + Instance + " event=" + Rest);
  EXPECT_TRUE(Line) << Rest;
  return Line.value_or(LogLine());
}

/// Two instances; the request r was refused by i after its server had gone.
std::vector<LogLine> example() {
  return {
      line("30.5", "i",
           "request_failed request=r outcome=refused sheet=3 "
           "missing=\"x(s1@0!,s2@4) y()\" retry_after_ms=90 ms=12"),
      line("02.0", "i", "server_word server=s1 service=x state=ready"),
      line("28.0", "i", "server_unreachable server=s1 service=x"),
      line("29.0", "i", "server_unreachable server=s9 service=x"),
      line("29.5", "j", "server_unreachable server=s2 service=x"),
      line("30.4", "i",
           "attempt_failed request=r server=s1 result=not_sent ms=0"),
      line("30.4", "i", "attempt_failed request=q server=s1 result=lost ms=0"),
      line("31.0", "i", "log_dropped lines=7"),
      line("29.9", "i", "sheet_taken version=3 routes=1 revision=8"),
      line("29.8", "j", "sheet_taken version=3 routes=1 revision=8"),
  };
}

std::vector<std::string> eventsOf(const LogStory &Story) {
  std::vector<std::string> Out;
  for (const LogLine &Line : Story.Lines)
    Out.push_back(Line.Event);
  return Out;
}

} // namespace

TEST(LogStoryTest, TellsOfARequestWithWhatItsInstanceBelieved) {
  const LogStory Story = tellStory(example(), StorySubject::Request, "r");
  EXPECT_EQ(eventsOf(Story),
            (std::vector<std::string>{"server_unreachable", "sheet_taken",
                                      "attempt_failed", "request_failed",
                                      "log_dropped"}));
  EXPECT_EQ(Story.Own, 2u);
  EXPECT_EQ(Story.Dropped, 7u);
}

TEST(LogStoryTest, TellsOfARequestThatCrossedAHome) {
  const std::vector<LogLine> Lines = {
      line("29.0", "home", "home_activated chosen=1"),
      line("29.5", "other", "home_activated chosen=1"),
      line("30.0", "home",
           "link_request_passed_back request=r reason=\"store lost\""),
      line("30.1", "asker",
           "attempt_failed request=r service=homes server=home result=shed"),
  };
  const LogStory Story = tellStory(Lines, StorySubject::Request, "r");
  EXPECT_EQ(eventsOf(Story), (std::vector<std::string>{
                                 "home_activated", "link_request_passed_back",
                                 "attempt_failed"}));
  EXPECT_NE(describeLine(Lines[2]).find("a home passed the request back unrun"),
            std::string::npos);
}

TEST(LogStoryTest, TellsOfAServerAtAllInstances) {
  const LogStory Story = tellStory(example(), StorySubject::Server, "s2");
  EXPECT_EQ(eventsOf(Story),
            (std::vector<std::string>{"server_unreachable", "request_failed"}));
}

TEST(LogStoryTest, TellsWhereASheetWasTaken) {
  const LogStory Story = tellStory(example(), StorySubject::Sheet, "3");
  EXPECT_EQ(Story.Lines.size(), 2u);
  EXPECT_EQ(Story.Lines[0].Instance, "j");
}

TEST(LogStoryTest, KnowsNothingOfWhatNoLineNames) {
  const LogStory Story = tellStory(example(), StorySubject::Request, "none");
  EXPECT_EQ(Story.Own, 0u);
  EXPECT_TRUE(Story.Lines.empty());
}

TEST(LogStoryTest, SaysWhatALineMeans) {
  const std::string Text = describeLine(example()[2]);
  EXPECT_TRUE(absl::StrContains(Text, "out of reach")) << Text;
  EXPECT_TRUE(absl::StrContains(Text, "server s1")) << Text;
}
