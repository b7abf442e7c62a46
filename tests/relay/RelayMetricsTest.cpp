#include "relay/RelayMetrics.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include <gtest/gtest.h>

using namespace quetzallead;

namespace {

RelayRequestSample sample(const std::string &Route) {
  RelayRequestSample S;
  S.Route = Route;
  S.Outcome = RelayOutcome::Merged;
  S.Elapsed = absl::Milliseconds(30);
  S.Objective = absl::Milliseconds(20);
  S.WantedParts = 10;
  S.MissingParts = 2;
  S.HedgesWithoutBudget = 1;
  return S;
}

std::size_t countOf(const std::string &Text, const std::string &Substring) {
  std::size_t Count = 0;
  for (std::size_t At = Text.find(Substring); At != std::string::npos;
       At = Text.find(Substring, At + 1))
    ++Count;
  return Count;
}

} // namespace

TEST(RelayMetricsTest, CountsRequestsPartsAndAttempts) {
  RelayMetrics M("i", "z");
  M.requestEnded(sample("r"));
  M.requestEnded(sample("r"));
  M.attemptEnded("s", AttemptCause::Hedge, AttemptResult::Lost,
                 absl::Milliseconds(5));
  const std::string Text = M.serialize(RelaySnapshot());
  for (const char *Series :
       {R"(outcome="merged",route="r"} 2)",
        R"(quetzallead_late_answers_total{instance_name="i",zone="z",)"
        R"(route="r"} 2)",
        R"(quetzallead_wanted_shards_total{instance_name="i",zone="z",)"
        R"(route="r"} 20)",
        R"(quetzallead_missing_shards_total{instance_name="i",zone="z",)"
        R"(route="r"} 4)",
        R"(reason="budget"} 2)",
        R"(cause="hedge",result="lost",service="s"} 1)",
        R"(route="r",le="0.05"} 2)"})
    EXPECT_TRUE(absl::StrContains(Text, Series)) << Series << "\n" << Text;
}

TEST(RelayMetricsTest, BoundsLabelCardinality) {
  RelayMetrics M("i", "z");
  for (std::size_t I = 0; I < 3 * RelayMetrics::MaxRouteSeries; ++I)
    M.requestEnded(sample(absl::StrCat("route", I)));
  for (std::size_t I = 0; I < 2 * RelayMetrics::MaxServiceSeries; ++I)
    M.attemptEnded(absl::StrCat("service", I), AttemptCause::First,
                   AttemptResult::Answered, absl::Milliseconds(5));
  const std::string Text = M.serialize(RelaySnapshot());
  EXPECT_EQ(countOf(Text, "quetzallead_requests_total{"),
            RelayMetrics::MaxRouteSeries + 1);
  EXPECT_EQ(countOf(Text, "quetzallead_attempts_total{"),
            RelayMetrics::MaxServiceSeries + 1);
  EXPECT_TRUE(absl::StrContains(
      Text, absl::StrCat(R"(outcome="merged",route="other"} )",
                         2 * RelayMetrics::MaxRouteSeries)));
}

TEST(RelayMetricsTest, ExportsLossesOfServers) {
  RelayMetrics M("i", "z");
  const std::string Labels = R"({instance_name="i",zone="z"} )";
  auto Gauge = [&](const char *Value) {
    return absl::StrContains(
        M.serialize(RelaySnapshot()),
        absl::StrCat("quetzallead_servers_lost", Labels, Value));
  };
  EXPECT_TRUE(Gauge("0"));
  M.serversLost();
  EXPECT_TRUE(Gauge("1"));
  M.serversRegained();
  EXPECT_TRUE(Gauge("0"));
  M.requestHandedOver(true);
  const std::string Text = M.serialize(RelaySnapshot());
  EXPECT_TRUE(absl::StrContains(
      Text, absl::StrCat("quetzallead_servers_losses_total", Labels, "1")));
  EXPECT_TRUE(absl::StrContains(Text, R"(,begun="1"} 1)")) << Text;
}

TEST(RelayMetricsTest, ExportsCurrentSnapshot) {
  RelayMetrics M("i", "z");
  RelaySnapshot Snapshot;
  Snapshot.SheetAge = absl::Seconds(2);
  Snapshot.Services["s"]
      .Servers[static_cast<std::size_t>(ServerState::Unreachable)] = 3;
  Snapshot.Services["s"].ExtraAttempts = 4.5;
  M.serialize(RelaySnapshot());
  const std::string Text = M.serialize(Snapshot);
  EXPECT_TRUE(absl::StrContains(Text, R"(following="sheet"} 2)")) << Text;
  EXPECT_TRUE(absl::StrContains(Text, R"(standing="unreachable"} 3)"));
  EXPECT_TRUE(absl::StrContains(Text, R"(service="s"} 4.5)"));
}
