#include "runtime/Metrics.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include <algorithm>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <thread>

namespace quetzallead {
namespace {

using ::testing::HasSubstr;
using ::testing::Not;

class MetricsTest : public ::testing::Test {
protected:
  MetricsTest() : M(*Metrics::make({"", "i1", "north"})) {
    M->setServices({"search"});
  }

  RequestSample sample(const std::string &Service) {
    RequestSample S;
    S.Service = Service;
    S.Urgency = Priority::Urgent;
    S.Outcome = RequestOutcome::Partial;
    S.Elapsed = absl::Milliseconds(3);
    S.WantedShards = 10;
    S.CoveredShards = 9;
    return S;
  }

  std::unique_ptr<Metrics> M;
};

TEST_F(MetricsTest, CountsRequestsWithLatencyAndCoverage) {
  M->requestEnded(sample("search"));
  const std::string Text = M->text();
  EXPECT_THAT(Text, HasSubstr("quetzallead_requests_total{instance_name=\"i1\","
                              "zone=\"north\",outcome=\"partial\","
                              "service=\"search\"} 1\n"));
  EXPECT_THAT(
      Text,
      HasSubstr("priority=\"urgent\",service=\"search\",le=\"0.005\"} 1"));
  EXPECT_THAT(
      Text,
      HasSubstr("priority=\"urgent\",service=\"search\",le=\"0.002\"} 0"));
  EXPECT_THAT(Text, HasSubstr("quetzallead_missing_shards_total{instance_name="
                              "\"i1\",zone=\"north\",service=\"search\"} 1\n"));
}

TEST_F(MetricsTest, LabelsAreBounded) {
  M->requestEnded(sample("made up by a caller"));
  EXPECT_THAT(M->text(), Not(HasSubstr("made up")));
  std::vector<std::string> Names;
  std::map<std::string, std::size_t> Servers;
  for (std::size_t I = 0; I < 2 * Metrics::MaxServerSeries; ++I) {
    Names.push_back(absl::StrCat("service", I));
    Servers[absl::StrCat("server", I)] = 1;
  }
  M->setServices(Names);
  M->setConnections(Servers);
  const std::string Text = M->text();
  EXPECT_LE(std::count(Text.begin(), Text.end(), '\n'),
            static_cast<std::ptrdiff_t>(80 * Metrics::MaxServiceSeries +
                                        2 * Metrics::MaxServerSeries + 100));
  EXPECT_THAT(Text, HasSubstr(absl::StrCat("server=\"other\"} ",
                                           Metrics::MaxServerSeries, "\n")));
}

TEST_F(MetricsTest, GaugesFollowTheirLastValues) {
  M->setConnections({{"s1", 4}, {"s2", 1}});
  M->setConnections({{"s2", 2}});
  M->setPeers({{"alive", 8}});
  M->setSheetRevision(17);
  M->setQueueLength(Priority::Background, 5);
  const std::string Text = M->text();
  EXPECT_THAT(Text, Not(HasSubstr("server=\"s1\"")));
  EXPECT_THAT(Text, HasSubstr("server=\"s2\"} 2\n"));
  EXPECT_THAT(Text, HasSubstr("state=\"alive\"} 8\n"));
  EXPECT_THAT(Text, HasSubstr("zone=\"north\"} 17\n"));
  EXPECT_THAT(Text, HasSubstr("priority=\"background\"} 5\n"));
}

TEST_F(MetricsTest, CountsFromManyThreads) {
  std::vector<std::thread> Threads;
  Threads.reserve(4);
  for (int I = 0; I < 4; ++I)
    Threads.emplace_back([this, I] {
      for (int J = 0; J < 250; ++J)
        M->attemptStarted("search", AttemptCause::Hedge);
      M->setServices({absl::StrCat("s", I)});
    });
  for (std::thread &T : Threads)
    T.join();
  EXPECT_THAT(M->text(),
              HasSubstr("cause=\"hedge\",service=\"search\"} 1000\n"));
}

TEST(MetricsScrapeTest, ListensOnAFreePortAndRefusesATakenOne) {
  const auto M = Metrics::make({"127.0.0.1:0", "i1", "north"});
  ASSERT_TRUE(M);
  ASSERT_GT((*M)->port(), 0);
  const std::string Taken = absl::StrCat("127.0.0.1:", (*M)->port());
  const auto Second = capture([&] {
    return Metrics::make({Taken, "i2", "north"});
  });
  ASSERT_TRUE(std::holds_alternative<Error>(Second));
  EXPECT_EQ(std::get<Error>(Second).Code, ErrorCode::Unavailable);
}

} // namespace
} // namespace quetzallead
