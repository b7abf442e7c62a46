#include "load/LoadPlan.h"
#include <gtest/gtest.h>

namespace quetzallead {
namespace {

Error errorOf(absl::string_view Text) {
  const auto Outcome = capture([&] { return parseLoadPlan(Text); });
  const auto *Failure = std::get_if<Error>(&Outcome);
  return Failure ? *Failure : Error{};
}

TEST(LoadPlanTest, ReadsPlanWithComments) {
  const auto Outcome = capture([] {
    return parseLoadPlan(R"({"seed": 7, "length_s": 5, // short
      "streams": [{"kind": "lookup", "service": "s", "priority": "urgent",
                   "rate": 50, "keys": ["a"], "timeout_ms": 250}],
      "phases": [{"from_s": 1, "to_s": 2, "factor": 3}]})");
  });
  const auto &Plan = std::get<LoadPlan>(Outcome);
  EXPECT_EQ(Plan.Seed, 7U);
  EXPECT_EQ(Plan.Length, absl::Seconds(5));
  ASSERT_EQ(Plan.Streams.size(), 1U);
  EXPECT_EQ(Plan.Streams[0].Kind, RequestKind::Lookup);
  EXPECT_EQ(Plan.Streams[0].Urgency, Priority::Urgent);
  EXPECT_EQ(Plan.Streams[0].Timeout, absl::Milliseconds(250));
  EXPECT_EQ(loadFactorAt(Plan, absl::Milliseconds(999)), 1);
  EXPECT_EQ(loadFactorAt(Plan, absl::Seconds(1)), 3);
  EXPECT_EQ(loadFactorAt(Plan, absl::Seconds(2)), 1);
  EXPECT_EQ(greatestLoadFactor(Plan), 3);
}

TEST(LoadPlanTest, NamesTheFieldAtFault) {
  EXPECT_EQ(errorOf(R"({"sed": 1})").Where, "sed");
  EXPECT_EQ(errorOf(R"({"streams": [{"service": "s", "rate": -1}]})").Where,
            "streams[0].rate");
  EXPECT_EQ(errorOf(R"({"streams": [{"service": "s", "kind": "x"}]})").Where,
            "streams[0].kind");
  EXPECT_EQ(
      errorOf(R"({"streams": [{"service": "s", "kind": "lookup"}]})").Where,
      "streams[0].keys");
  EXPECT_EQ(errorOf("[1").Code, ErrorCode::InvalidArgument);
}

TEST(LoadPlanTest, RefusesUnboundedRate) {
  const Error Failure = errorOf(R"({
    "streams": [{"service": "s", "rate": 15000}],
    "phases": [{"from_s": 0, "to_s": 1, "factor": 2}]})");
  EXPECT_EQ(Failure.Where, "streams");
}

} // namespace
} // namespace quetzallead
