#include "core/relay/CrashSuspects.h"
#include "relay/CrashMessages.h"
#include <algorithm>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

using namespace quetzallead;

namespace {

const TimePoint Start = absl::UnixEpoch() + absl::Hours(1);

std::string serverOf(int I) { return "server-" + std::to_string(I) + "/1"; }

CrashReport drawReport() {
  CrashReport Report;
  Report.Fingerprint =
      std::string(1, static_cast<char>('a' + *rc::gen::inRange(0, 3)));
  const int Ends = *rc::gen::inRange(0, 4);
  for (int I = 0; I < Ends; ++I)
    Report.Ends[serverOf(*rc::gen::inRange(0, 12))] =
        absl::Seconds(*rc::gen::inRange(0, 40));
  // Responses differ by more than the tolerance for the time of a message.
  if (*rc::gen::inRange(0, 3) == 0)
    Report.ServedAge = absl::Seconds(*rc::gen::inRange(0, 40));
  return Report;
}

} // namespace

TEST(CrashSuspectsTest, RequestIsBlockedAfterThreeServersHaveEnded) {
  CrashSuspects Suspects;
  for (int I = 0; I < 3; ++I) {
    EXPECT_FALSE(Suspects.blocks("f", Start));
    EXPECT_TRUE(Suspects.onServerEnded("f", serverOf(I), Start));
    EXPECT_FALSE(Suspects.onServerEnded("f", serverOf(I), Start));
  }
  EXPECT_TRUE(Suspects.blocks("f", Start));
  EXPECT_FALSE(Suspects.blocks("g", Start));
  EXPECT_EQ(Suspects.blockedCount(Start), 1u);
  EXPECT_GT(Suspects.blockLeft("f", Start), absl::Minutes(30));
  EXPECT_FALSE(Suspects.blocks("f", Start + absl::Hours(2)));
}

TEST(CrashSuspectsTest, CheckInProgressCountsAsTheLastEnd) {
  CrashSuspects Suspects;
  Suspects.beginCheck("f", Start);
  EXPECT_TRUE(Suspects.suspects("f", Start));
  EXPECT_FALSE(Suspects.blocks("f", Start));
  Suspects.onServerEnded("f", serverOf(0), Start);
  Suspects.onServerEnded("f", serverOf(1), Start);
  EXPECT_TRUE(Suspects.blocks("f", Start));
  // The server is alive, or its answer never comes.
  EXPECT_FALSE(Suspects.blocks("f", Start + absl::Seconds(2)));
  Suspects.endCheck("f");
  EXPECT_FALSE(Suspects.blocks("f", Start));
}

TEST(CrashSuspectsTest, ResponseClearsARequestThatRanBesideEnds) {
  CrashSuspects Suspects;
  for (int I = 0; I < 2; ++I)
    Suspects.onServerEnded("f", serverOf(I), Start);
  EXPECT_TRUE(Suspects.onServed("f", Start + absl::Seconds(1)));
  EXPECT_FALSE(Suspects.onServed("f", Start + absl::Seconds(1)));
  EXPECT_EQ(Suspects.endCount("f"), 0u);
  // Another instance reports an end from before the response.
  CrashReport Late;
  Late.Fingerprint = "f";
  Late.Ends[serverOf(7)] = absl::Seconds(3);
  EXPECT_FALSE(Suspects.merge({Late}, Start + absl::Seconds(2)));
  EXPECT_EQ(Suspects.endCount("f"), 0u);
}

TEST(CrashSuspectsTest, ClearedRequestIsClearedAtOtherInstances) {
  CrashSuspects A;
  CrashSuspects B;
  for (int I = 0; I < 3; ++I)
    A.onServerEnded("f", serverOf(I), Start);
  EXPECT_TRUE(B.merge(A.reports(10, Start), Start));
  EXPECT_TRUE(B.blocks("f", Start));
  EXPECT_EQ(A.digest(), B.digest());
  const TimePoint Later = Start + absl::Seconds(1);
  A.onServed("f", Later);
  EXPECT_NE(A.digest(), B.digest());
  EXPECT_TRUE(B.merge(A.reports(10, Later), Later));
  EXPECT_FALSE(B.blocks("f", Later));
  EXPECT_EQ(B.digest(), 0u);
}

RC_GTEST_PROP(CrashSuspectsTest, ReportsMergeInAnyOrderAndNumber, ()) {
  const auto Reports = *rc::gen::container<std::vector<CrashReport>>(
      rc::gen::exec([] { return drawReport(); }));
  std::vector<CrashReport> Shuffled = Reports;
  for (const CrashReport &Report : Reports)
    if (*rc::gen::inRange(0, 2) == 0)
      Shuffled.push_back(Report);
  for (std::size_t I = 1; I < Shuffled.size(); ++I)
    std::swap(Shuffled[I], Shuffled[*rc::gen::inRange<std::size_t>(0, I + 1)]);
  CrashSuspects A;
  CrashSuspects B;
  A.merge(Reports, Start);
  for (const CrashReport &Report : Shuffled)
    B.merge({Report}, Start);
  RC_ASSERT(A.digest() == B.digest());
  for (const char *Fingerprint : {"a", "b", "c"})
    RC_ASSERT(A.blocks(Fingerprint, Start) == B.blocks(Fingerprint, Start));
}

TEST(CrashSuspectsTest, BlockedRequestsAreForgottenLast) {
  CrashSuspects Suspects;
  for (int I = 0; I < 3; ++I)
    Suspects.onServerEnded("blocked", serverOf(I), Start);
  for (std::size_t I = 0; I < CrashSuspects::MaxRecords + 10; ++I)
    Suspects.onServerEnded("f" + std::to_string(I), serverOf(0),
                           Start + absl::Milliseconds(I));
  EXPECT_EQ(Suspects.reports(100000, Start + absl::Seconds(2)).size(),
            CrashSuspects::MaxRecords);
  EXPECT_TRUE(Suspects.blocks("blocked", Start + absl::Seconds(2)));
}

TEST(CrashMessagesTest, DecodesWhatItEncodes) {
  CrashReport Report;
  Report.Fingerprint = "f";
  Report.Ends[serverOf(0)] = absl::Milliseconds(1500);
  Report.ServedAge = absl::Milliseconds(7);
  const auto Decoded = decodeCrashReports(encodeCrashReports({Report}));
  ASSERT_TRUE(Decoded);
  ASSERT_EQ(Decoded->size(), 1u);
  EXPECT_EQ((*Decoded)[0].Fingerprint, "f");
  EXPECT_EQ((*Decoded)[0].Ends, Report.Ends);
  EXPECT_EQ((*Decoded)[0].ServedAge, Report.ServedAge);
}

TEST(CrashMessagesTest, LeavesOutWhatItCannotRead) {
  const auto Message = nlohmann::json::to_cbor(nlohmann::json::array(
      {1,
       {{"fingerprint", 2}},
       {{"fingerprint", std::string(300, 'x')}},
       {{"fingerprint", "f"},
        {"later", "field"},
        {"served_ms", -1},
        {"ends_ms", {{"s", "x"}, {"t", -5}, {"u", 5}}}}}));
  const auto Decoded = decodeCrashReports(absl::string_view(
      reinterpret_cast<const char *>(Message.data()), Message.size()));
  ASSERT_TRUE(Decoded);
  ASSERT_EQ(Decoded->size(), 1u);
  EXPECT_EQ((*Decoded)[0].Ends.size(), 1u);
  EXPECT_FALSE((*Decoded)[0].ServedAge);
  EXPECT_FALSE(decodeCrashReports("not CBOR"));
  EXPECT_FALSE(decodeCrashReports(""));
}

RC_GTEST_PROP(CrashMessagesTest, AnyBytesAreDecodedOrRefused,
              (const std::string &Bytes)) {
  const auto Decoded = decodeCrashReports(Bytes);
  RC_ASSERT(!Decoded || Decoded->size() <= MaxCrashReports);
}
