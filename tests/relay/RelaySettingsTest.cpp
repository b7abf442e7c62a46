#include "relay/RelaySettings.h"
#include <gtest/gtest.h>

using namespace quetzallead;

namespace {

const char *const MinimalSettings = R"({
  // A comment.
  "instance": "front-a-1", "zone": "a",
  "caller_listen": "127.0.0.1:80", "readiness_listen": "127.0.0.1:81",
  "store": {"address": "127.0.0.1:82"}})";

std::string parseErrorOf(const std::string &Text) {
  auto Parsed = capture([&] { return parseRelaySettings(Text); });
  auto *Fault = std::get_if<Error>(&Parsed);
  return Fault == nullptr ? "" : Fault->text();
}

} // namespace

TEST(RelaySettingsTest, FormattedSettingsRoundTrip) {
  auto First = capture([] { return parseRelaySettings(MinimalSettings); });
  ASSERT_TRUE(std::holds_alternative<RelaySettings>(First));
  const std::string Formatted =
      formatRelaySettings(std::get<RelaySettings>(First));
  auto Second = capture([&] { return parseRelaySettings(Formatted); });
  ASSERT_TRUE(std::holds_alternative<RelaySettings>(Second));
  EXPECT_EQ(formatRelaySettings(std::get<RelaySettings>(Second)), Formatted);
}

TEST(RelaySettingsTest, ErrorNamesInvalidField) {
  EXPECT_NE(parseErrorOf("{}").find("instance"), std::string::npos);
  std::string InvalidAddress = MinimalSettings;
  InvalidAddress.replace(InvalidAddress.find("127.0.0.1:82"), 12, "nowhere");
  EXPECT_NE(parseErrorOf(InvalidAddress).find("store.address"),
            std::string::npos);
  std::string UnknownKey = MinimalSettings;
  UnknownKey.insert(UnknownKey.find("\"zone\""), "\"zoen\": \"b\", ");
  EXPECT_NE(parseErrorOf(UnknownKey).find("zoen"), std::string::npos);
}

TEST(RelaySettingsTest, ReadsLinkMachineAndHomes) {
  std::string Text = MinimalSettings;
  Text.insert(Text.find("\"store\""),
              R"("link_listen": "127.0.0.1:83",
                 "machine": {"cores": 0.5, "memory_mb": 200},
                 "homes": {"per_zone": 4, "all_up_to": 0}, )");
  auto Parsed = capture([&] { return parseRelaySettings(Text); });
  ASSERT_TRUE(std::holds_alternative<RelaySettings>(Parsed));
  const auto &S = std::get<RelaySettings>(Parsed);
  EXPECT_EQ(S.LinkListen, "127.0.0.1:83");
  EXPECT_EQ(S.Machine.Cores, 0.5);
  EXPECT_EQ(S.Homes.PerZone, 4);
  EXPECT_EQ(S.Homes.AllUpTo, 0);
  Text.replace(Text.find("\"per_zone\": 4"), 13, "\"per_zone\": 0");
  EXPECT_NE(parseErrorOf(Text).find("homes.per_zone"), std::string::npos);
}

TEST(RelaySettingsTest, RegionsOfZonesAreReadOrRefusedWhole) {
  RelaySettings S;
  S.ZoneRegions = {{"a", "north"}};
  auto Apply = [&](const char *Text) {
    auto Applied = capture([&] { return applyZoneRegions(Text, S); });
    return std::holds_alternative<bool>(Applied);
  };
  EXPECT_TRUE(Apply(R"({"a": "south", "b": "north"})"));
  EXPECT_EQ(S.ZoneRegions.size(), 2U);
  for (const char *Odd : {R"({"a": 1})", R"(["a"])", R"("a")", "{", ""})
    EXPECT_FALSE(Apply(Odd)) << Odd;
  EXPECT_EQ(S.ZoneRegions.size(), 2U);
  EXPECT_EQ(S.ZoneRegions["a"], "south");
}
