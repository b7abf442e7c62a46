#include "daemon/Settings.h"
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace quetzallead;

static const std::string Least = R"({
  "instance": "i1", "zone": "a", // comment
  "caller_listen": "127.0.0.1:1", "admin_listen": "127.0.0.1:2",
  "peer_listen": "127.0.0.1:3", "metrics_listen": "[::1]:4",
  "platform": {"address": "127.0.0.1:8500"}, "secrets_file": "s.json"
)";

static Error refusal(const std::string &Text) {
  auto Outcome = capture([&] { return parseSettings(Text); });
  const auto *Failure = std::get_if<Error>(&Outcome);
  return Failure ? *Failure : Error{ErrorCode::Internal, "accepted", ""};
}

TEST(SettingsTest, LeastSettingsTakeDefaults) {
  auto Outcome = capture([] { return parseSettings(Least + "}"); });
  ASSERT_TRUE(std::holds_alternative<Settings>(Outcome));
  const auto &S = std::get<Settings>(Outcome);
  EXPECT_EQ(S.Platform.Timeout, absl::Seconds(2));
  EXPECT_EQ(S.Policy.Routing, RoutingPolicy::ExpectedCompletion);
  EXPECT_TRUE(S.Peers.empty());
}

TEST(SettingsTest, PrintedSettingsReadBackTheSame) {
  auto Outcome = capture([] {
    return parseSettings(Least + R"(, "peers": ["10.0.0.1:9"],
      "policy": {"routing": "two_choices", "hedge_delay_ms": 7.5}})");
  });
  ASSERT_TRUE(std::holds_alternative<Settings>(Outcome));
  std::string Printed = formatSettings(std::get<Settings>(Outcome));
  auto Again = capture([&] { return parseSettings(Printed); });
  ASSERT_TRUE(std::holds_alternative<Settings>(Again));
  EXPECT_EQ(formatSettings(std::get<Settings>(Again)), Printed);
  EXPECT_NE(Printed.find("\"two_choices\""), std::string::npos);
}

TEST(SettingsTest, RefusalsNameTheField) {
  EXPECT_EQ(refusal("{}").Where, "instance");
  EXPECT_EQ(refusal(Least + R"(, "limits": {"max_in_flight": 0}})").Where,
            "limits.max_in_flight");
  EXPECT_EQ(refusal(Least + R"(, "peers": ["host:1"]})").Where, "peers[0]");
  EXPECT_EQ(refusal(Least + R"(, "log": {"level": "loud"}})").Where,
            "log.level");
  Error Unknown = refusal(Least + R"(, "drian": {}})");
  EXPECT_EQ(Unknown.Where, "drian");
  EXPECT_NE(Unknown.Message.find("\"drain\""), std::string::npos);
}

TEST(SettingsTest, ExamplesAreAccepted) {
  for (const char *Deployment : {"escaparates", "rahbar"})
    for (const char *Zone : {"a", "b", "c"}) {
      std::string Path = std::string(QUETZALLEAD_SOURCE_DIR "/examples/") +
                         Deployment + "/instance-" + Zone + ".json";
      auto Outcome = capture([&] { return loadSettings(Path); });
      ASSERT_TRUE(std::holds_alternative<Settings>(Outcome)) << Path;
      EXPECT_EQ(std::get<Settings>(Outcome).Zone, Zone);
    }
}

TEST(SettingsTest, MissingFileIsNamed) {
  auto Outcome = capture([] { return loadSettings("no/such/file"); });
  ASSERT_TRUE(std::holds_alternative<Error>(Outcome));
  EXPECT_EQ(std::get<Error>(Outcome).Where, "no/such/file");
}

RC_GTEST_PROP(SettingsTest, AlteredTextNeverCrashes, ()) {
  std::string Text = Least + "}";
  int Edits = *rc::gen::inRange(1, 6);
  for (int I = 0; I < Edits; ++I) {
    auto At = *rc::gen::inRange<std::size_t>(0, Text.size());
    Text[At] = *rc::gen::arbitrary<char>();
  }
  auto Outcome = capture([&] { return parseSettings(Text); });
  if (const auto *Failure = std::get_if<Error>(&Outcome))
    RC_ASSERT(Failure->Code == ErrorCode::InvalidArgument);
}
