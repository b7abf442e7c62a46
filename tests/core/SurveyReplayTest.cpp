#include "quetzallead/SurveyTrace.h"
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

using namespace quetzallead;

namespace {

std::string textOf(const std::filesystem::path &Path) {
  std::ifstream In(Path);
  std::ostringstream Out;
  Out << In.rdbuf();
  return Out.str();
}

std::vector<std::filesystem::path> recordedTraces() {
  std::vector<std::filesystem::path> Paths;
  std::filesystem::path Folder = QUETZALLEAD_SOURCE_DIR "/tests/traces";
  for (const auto &Entry : std::filesystem::directory_iterator(Folder))
    Paths.push_back(Entry.path());
  std::sort(Paths.begin(), Paths.end());
  return Paths;
}

class RecordedTraceTest : public testing::TestWithParam<std::filesystem::path> {
};

} // namespace

TEST_P(RecordedTraceTest, ReplaysToItsStatedOutcome) {
  auto Parsed = capture([] { return parseTrace(textOf(GetParam())); });
  ASSERT_EQ(Parsed.index(), 0u) << std::get<Error>(Parsed).text();
  const auto &Trace = std::get<SurveyTrace>(Parsed);
  auto Replayed = capture([&] { return replayTrace(Trace); });
  ASSERT_EQ(Replayed.index(), 0u) << std::get<Error>(Replayed).text();
  for (const std::string &Difference :
       outcomeDifferences(Trace.Outcome, std::get<TraceOutcome>(Replayed)))
    ADD_FAILURE() << Difference;
}

INSTANTIATE_TEST_SUITE_P(Recorded, RecordedTraceTest,
                         testing::ValuesIn(recordedTraces()),
                         [](const auto &Info) {
                           std::string Name = Info.param.stem().string();
                           std::replace(Name.begin(), Name.end(), '-', '_');
                           return Name;
                         });

TEST(SurveyReplayTest, TextOfATraceReadsBack) {
  for (const auto &Path : recordedTraces()) {
    auto Parsed = capture([&] { return parseTrace(textOf(Path)); });
    ASSERT_EQ(Parsed.index(), 0u) << Path;
    std::string Text = formatTrace(std::get<SurveyTrace>(Parsed));
    auto Again = capture([&] { return parseTrace(Text); });
    ASSERT_EQ(Again.index(), 0u) << Path;
    EXPECT_EQ(formatTrace(std::get<SurveyTrace>(Again)), Text);
  }
}

TEST(SurveyReplayTest, ATamperedOutcomeIsNoticed) {
  auto Parsed =
      capture([] { return parseTrace(textOf(recordedTraces().front())); });
  ASSERT_EQ(Parsed.index(), 0u);
  auto &Trace = std::get<SurveyTrace>(Parsed);
  TraceOutcome Stated = Trace.Outcome;
  ++Stated.Covered;
  EXPECT_FALSE(outcomeDifferences(Stated, Trace.Outcome).empty());
}

TEST(SurveyReplayTest, AnEventThatAnswersNothingIsRefused) {
  auto Parsed =
      capture([] { return parseTrace(textOf(recordedTraces().front())); });
  ASSERT_EQ(Parsed.index(), 0u);
  auto &Trace = std::get<SurveyTrace>(Parsed);
  TraceEvent Stray;
  Stray.Kind = TraceEventKind::Reply;
  Stray.Attempt = 1000;
  Trace.Events.insert(Trace.Events.begin(), Stray);
  auto Replayed = capture([&] { return replayTrace(Trace); });
  ASSERT_EQ(Replayed.index(), 1u);
  EXPECT_EQ(std::get<Error>(Replayed).Where, "events[0]");
}
