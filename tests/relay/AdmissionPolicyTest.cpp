#include "core/relay/AdmissionPolicy.h"
#include <gtest/gtest.h>

using namespace quetzallead;

namespace {

constexpr Duration TimeLeft = absl::Milliseconds(100);

std::vector<ServiceOutlook> shards(std::size_t Count) {
  std::vector<ServiceOutlook> Out(Count);
  for (ServiceOutlook &S : Out)
    S.Wait = absl::Milliseconds(10);
  return Out;
}

} // namespace

TEST(AdmissionPolicyTest, SurveyIsBegunIfItsCoverageIsExpected) {
  auto Shards = shards(36);
  Shards[3].Wait = absl::Seconds(1);
  const AdmissionDecision D = decideAdmission(Shards, 35, TimeLeft);
  EXPECT_EQ(D.Verdict, AdmissionVerdict::Admit);
  EXPECT_FALSE(D.InTime[3]);
  EXPECT_TRUE(D.InTime[4]);
}

// A survey asked 34 shards although two others could not answer in time.
TEST(AdmissionPolicyTest, SurveyThatWillMissItsCoverageIsNotBegun) {
  auto Shards = shards(36);
  Shards[3].Wait = absl::Milliseconds(150);
  Shards[7].Wait = absl::Milliseconds(400);
  const AdmissionDecision D = decideAdmission(Shards, 35, TimeLeft);
  EXPECT_EQ(D.Verdict, AdmissionVerdict::TooSlow);
  EXPECT_EQ(D.Decisive, 7U);
  EXPECT_EQ(D.Excess, absl::Milliseconds(300));
}

TEST(AdmissionPolicyTest, PausedShardsTellWhenTheCoverageReturns) {
  auto Shards = shards(4);
  for (std::size_t I = 0; I < 3; ++I) {
    Shards[I].Wait = absl::InfiniteDuration();
    Shards[I].PauseLeft = absl::Seconds(static_cast<double>(3 - I));
  }
  const AdmissionDecision D = decideAdmission(Shards, 3, TimeLeft);
  EXPECT_EQ(D.Verdict, AdmissionVerdict::Paused);
  EXPECT_EQ(D.Decisive, 1U) << "two of the three are needed";
}

TEST(AdmissionPolicyTest, ShardsWithoutServersAreUnservable) {
  auto Shards = shards(3);
  Shards[0].Wait = absl::InfiniteDuration();
  EXPECT_EQ(decideAdmission(Shards, 3, TimeLeft).Verdict,
            AdmissionVerdict::Unservable);
  EXPECT_EQ(decideAdmission(Shards, 2, TimeLeft).Verdict,
            AdmissionVerdict::Admit);
  Shards = shards(1);
  Shards[0].Reachable = false;
  EXPECT_EQ(decideAdmission(Shards, 1, TimeLeft).Verdict,
            AdmissionVerdict::Unservable);
}
