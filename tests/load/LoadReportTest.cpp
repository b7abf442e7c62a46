#include "load/LoadReport.h"
#include "load/LoadRecord.h"
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace quetzallead {
namespace {

LoadRecord makeRecord(int Status, int Covered, int LatencyMs) {
  LoadRecord Record;
  Record.Status = Status;
  Record.CoverageWanted = 10;
  Record.CoverageCovered = Covered;
  Record.Latency = absl::Milliseconds(LatencyMs);
  return Record;
}

TEST(LoadReportTest, CountsEachOutcomeOnce) {
  LoadReport Report;
  Report.add(makeRecord(200, 10, 5));
  Report.add(makeRecord(200, 8, 7));
  Report.add(makeRecord(429, 0, 1));
  Report.add(makeRecord(0, 0, 500));
  LoadRecord Faulty = makeRecord(200, 10, 6);
  Faulty.Fault = AnswerFault::MixedSnapshots;
  Report.add(Faulty);
  const auto Group = nlohmann::json::parse(Report.json(2))["groups"][0];
  EXPECT_EQ(Group["sent"], 5);
  EXPECT_EQ(Group["whole"], 1);
  EXPECT_EQ(Group["partial"], 1);
  EXPECT_EQ(Group["refused"], 1);
  EXPECT_EQ(Group["failed"], 2);
  EXPECT_EQ(Group["p99_ms"], 7);
  EXPECT_DOUBLE_EQ(Group["coverage"], 28.0 / 30);
  EXPECT_DOUBLE_EQ(Group["whole_per_s"], 0.5);
  EXPECT_EQ(Report.faultyCount(), 1U);
}

} // namespace
} // namespace quetzallead
