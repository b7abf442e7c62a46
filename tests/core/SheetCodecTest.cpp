#include "quetzallead/SheetCodec.h"
#include "ArbitrarySheet.h"
#include <fstream>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <sstream>

using namespace quetzallead;

static std::string readExample(const std::string &Deployment) {
  std::ifstream In(QUETZALLEAD_SOURCE_DIR "/examples/" + Deployment +
                   "/sheet.json");
  std::ostringstream Text;
  Text << In.rdbuf();
  return Text.str();
}

static Sheet parsed(const std::string &Text) {
  auto Outcome = capture([&] { return parseSheet(Text); });
  if (const auto *Failure = std::get_if<Error>(&Outcome))
    ADD_FAILURE() << Failure->text();
  return Outcome.index() == 0 ? std::get<Sheet>(Outcome) : Sheet();
}

static Error refusal(const std::string &Text) {
  auto Outcome = capture([&] { return parseSheet(Text); });
  const auto *Failure = std::get_if<Error>(&Outcome);
  return Failure ? *Failure : Error{ErrorCode::Internal, "accepted", ""};
}

static std::string replaced(std::string Text, const std::string &From,
                            const std::string &To) {
  std::size_t At = Text.find(From);
  EXPECT_NE(At, std::string::npos) << From;
  return Text.replace(At, From.size(), To);
}

static const char *const Small = R"({
  // two shards
  "format": 1, "deployment": "d", "zones": ["a", "b"],
  "services": [{"name": "s", "requests": ["lookup"], "shards": [
    {"name": "s0", "from": "", "servers": [
      {"name": "x", "zone": "a", "address": "127.0.0.1:21000", "slots": 2,
       "connections": 25, "connect_ms": 6}]},
    {"name": "s1", "from": "m", "servers": [
      {"name": "y", "zone": "b", "address": "127.0.0.1:21001", "slots": 2,
       "connections": 25, "state": "leaving"}]}]}]
})";

TEST(SheetCodecTest, ReadsFieldsAndDefaults) {
  Sheet S = parsed(Small);
  ASSERT_EQ(S.Services.size(), 1u);
  const ServiceSpec &Service = S.Services[0];
  EXPECT_EQ(Service.Timeout, absl::Milliseconds(500));
  EXPECT_FALSE(Service.Rules.Surveys);
  ASSERT_EQ(Service.Shards.size(), 2u);
  EXPECT_EQ(Service.Shards[0].To, "m");
  EXPECT_EQ(Service.Shards[1].To, "");
  EXPECT_EQ(Service.Shards[0].Servers[0].ConnectTime, absl::Milliseconds(6));
  EXPECT_TRUE(Service.Shards[1].Servers[0].Leaving);
}

TEST(SheetCodecTest, ExamplesHaveTheStatedSizes) {
  Sheet Escaparates = parsed(readExample("escaparates"));
  ASSERT_EQ(Escaparates.Services.size(), 4u);
  EXPECT_EQ(Escaparates.Services[0].Shards.size(), 10u);
  EXPECT_EQ(Escaparates.Services[1].Shards.size(), 15u);
  EXPECT_EQ(Escaparates.Services[2].Shards[0].Servers.size(), 8u);
  EXPECT_EQ(Escaparates.Services[3].Shards[0].Servers.size(), 4u);
  Sheet Rahbar = parsed(readExample("rahbar"));
  ASSERT_EQ(Rahbar.Services.size(), 4u);
  EXPECT_EQ(Rahbar.Services[2].Shards[0].Servers.size(), 5u);
  EXPECT_TRUE(Rahbar.Services[3].Rules.Commands);
}

struct RefusalCase {
  const char *From;
  const char *To;
  const char *Where;
};

static const RefusalCase RefusalCases[] = {
    {"\"format\": 1", "\"format\": 2", "format"},
    {"\"zones\": [\"a\", \"b\"]", "\"zones\": [\"a\", \"a\"]", "zones"},
    {"\"zone\": \"b\"", "\"zone\": \"q\"",
     "services[0].shards[1].servers[0].zone"},
    {"\"name\": \"y\"", "\"name\": \"x\"",
     "services[0].shards[1].servers[0].name"},
    {"127.0.0.1:21001", "127.0.0.1:21000",
     "services[0].shards[1].servers[0].address"},
    {"127.0.0.1:21001", "localhost:21000",
     "services[0].shards[1].servers[0].address"},
    {"\"slots\": 2", "\"slots\": 0", "services[0].shards[0].servers[0].slots"},
    {"\"slots\": 2", "\"slots\": 2.5",
     "services[0].shards[0].servers[0].slots"},
    {"\"connect_ms\": 6", "\"connect_ms\": -1",
     "services[0].shards[0].servers[0].connect_ms"},
    {"\"from\": \"\"", "\"from\": \"b\"", "services[0].shards[0].from"},
    {"\"from\": \"m\"", "\"from\": \"\"", "services[0].shards[1].from"},
    {"\"name\": \"s1\"", "\"name\": \"s0\"", "services[0].shards[1].name"},
    {"[\"lookup\"]", "[\"lokup\"]", "services[0].requests"},
    {"\"state\": \"leaving\"", "\"state\": \"gone\"",
     "services[0].shards[1].servers[0].state"},
    {"\"format\": 1,", "\"format\": 1, \"format\": 1,", "format"},
};

TEST(SheetCodecTest, EachBrokenRuleNamesItsField) {
  for (const RefusalCase &Case : RefusalCases) {
    Error Failure = refusal(replaced(Small, Case.From, Case.To));
    EXPECT_EQ(Failure.Code, ErrorCode::InvalidArgument) << Case.To;
    EXPECT_EQ(Failure.Where, Case.Where) << Failure.text();
  }
}

TEST(SheetCodecTest, UnknownKeyNamesTheNearestKnownOne) {
  Error Failure = refusal(replaced(Small, "connect_ms", "conect_ms"));
  EXPECT_EQ(Failure.Where, "services[0].shards[0].servers[0].conect_ms");
  EXPECT_NE(Failure.Message.find("\"connect_ms\""), std::string::npos);
}

TEST(SheetCodecTest, MalformedTextNamesTheLine) {
  EXPECT_NE(refusal("{\n\"format\": 1,,\n}").Message.find("line 2"),
            std::string::npos);
  EXPECT_EQ(refusal("").Code, ErrorCode::InvalidArgument);
  EXPECT_EQ(refusal("[]").Code, ErrorCode::InvalidArgument);
  EXPECT_EQ(refusal(std::string(100000, '[')).Code, ErrorCode::InvalidArgument);
}

RC_GTEST_PROP(SheetCodecTest, ParseOfTheCanonicalTextIsTheSheet, ()) {
  Sheet S = *arbitrarySheet();
  auto Outcome = capture([&] { return parseSheet(formatSheet(S)); });
  RC_ASSERT(std::holds_alternative<Sheet>(Outcome));
  RC_ASSERT(std::get<Sheet>(Outcome) == S);
  RC_ASSERT(sheetDigest(S).size() == 64u);
}

RC_GTEST_PROP(SheetCodecTest, AlteredTextIsReadOrRefusedButNeverCrashes, ()) {
  std::string Text = Small;
  int Edits = *rc::gen::inRange(1, 6);
  for (int I = 0; I < Edits; ++I) {
    auto At = *rc::gen::inRange<std::size_t>(0, Text.size());
    Text[At] = *rc::gen::arbitrary<char>();
  }
  Text.resize(*rc::gen::inRange<std::size_t>(Text.size() / 2, Text.size() + 1));
  auto Outcome = capture([&] { return parseSheet(Text); });
  if (const auto *Failure = std::get_if<Error>(&Outcome))
    RC_ASSERT(Failure->Code == ErrorCode::InvalidArgument);
}
