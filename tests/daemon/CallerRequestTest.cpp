#include "daemon/CallerRequest.h"
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace quetzallead;

namespace {

std::string faultOf(const std::string &Body) {
  auto Parsed = capture([&] { return parseSurveyRequest(Body); });
  const auto *Fault = std::get_if<Error>(&Parsed);
  return Fault == nullptr ? std::string() : Fault->text();
}

std::optional<Priority> priorityOf(const std::string &Field) {
  return parsePriority(&Field);
}

} // namespace

TEST(CallerRequestTest, AnEmptyBodyAsksForAllRows) {
  auto Parsed = capture([] { return parseSurveyRequest(""); });
  ASSERT_EQ(Parsed.index(), 0u);
  EXPECT_EQ(std::get<SurveyRequest>(Parsed).Kind, MergeKind::Rows);
  EXPECT_TRUE(std::get<SurveyRequest>(Parsed).Shards.empty());
}

TEST(CallerRequestTest, ErrorsNameTheField) {
  EXPECT_NE(faultOf(R"({"merge":"sum"})").find("merge"), std::string::npos);
  EXPECT_NE(faultOf(R"({"limt":3})").find("limit"), std::string::npos);
  EXPECT_NE(faultOf(R"({"timeout_ms":-1})").find("timeout_ms"),
            std::string::npos);
  EXPECT_NE(faultOf(R"({"merge":"ordered"})").find("order_by"),
            std::string::npos);
  EXPECT_NE(faultOf("{").size(), 0u);
  EXPECT_EQ(faultOf(R"({"merge":"count"})"), "");
}

TEST(CallerRequestTest, ALookupNeedsAKey) {
  auto Parsed = capture([] { return parseLookupRequest("{}"); });
  ASSERT_EQ(Parsed.index(), 1u);
  EXPECT_EQ(std::get<Error>(Parsed).Where, "key");
}

TEST(CallerRequestTest, ReadsThePriorityField) {
  EXPECT_EQ(priorityOf("u=0"), Priority::Urgent);
  EXPECT_EQ(priorityOf("i, u=3"), Priority::Ordinary);
  EXPECT_EQ(priorityOf("u=7"), Priority::Background);
  EXPECT_EQ(priorityOf("urgent"), std::nullopt);
  EXPECT_EQ(parsePriority(nullptr), std::nullopt);
}

RC_GTEST_PROP(CallerRequestPropertyTest, GarbageIsAnErrorNotACrash,
              (const std::string &Garbage)) {
  capture([&] { return parseSurveyRequest(Garbage); });
  capture([&] { return parseLookupRequest(Garbage); });
  auto Parsed = capture([&] { return parseCommandRequest(Garbage); });
  RC_ASSERT(Parsed.index() == 1u);
}
