#include "relay/RelaySettings.h"
#include <gtest/gtest.h>

using namespace quetzallead;

namespace {

const char *const Least = R"({
  // A comment.
  "instance": "front-a-1", "zone": "a",
  "caller_listen": "127.0.0.1:80", "readiness_listen": "127.0.0.1:81",
  "store": {"address": "127.0.0.1:82"}})";

std::string faultOf(const std::string &Text) {
  auto Parsed = capture([&] { return parseRelaySettings(Text); });
  auto *Fault = std::get_if<Error>(&Parsed);
  return Fault == nullptr ? "" : Fault->text();
}

} // namespace

TEST(RelaySettingsTest, PrintedSettingsReadBackTheSame) {
  auto First = capture([] { return parseRelaySettings(Least); });
  ASSERT_TRUE(std::holds_alternative<RelaySettings>(First));
  const std::string Printed =
      formatRelaySettings(std::get<RelaySettings>(First));
  auto Second = capture([&] { return parseRelaySettings(Printed); });
  ASSERT_TRUE(std::holds_alternative<RelaySettings>(Second));
  EXPECT_EQ(formatRelaySettings(std::get<RelaySettings>(Second)), Printed);
}

TEST(RelaySettingsTest, NamesTheFieldAtFault) {
  EXPECT_NE(faultOf("{}").find("instance"), std::string::npos);
  std::string Wrong = Least;
  Wrong.replace(Wrong.find("127.0.0.1:82"), 12, "nowhere");
  EXPECT_NE(faultOf(Wrong).find("store.address"), std::string::npos);
  std::string Misspelt = Least;
  Misspelt.insert(Misspelt.find("\"zone\""), "\"zoen\": \"b\", ");
  EXPECT_NE(faultOf(Misspelt).find("zoen"), std::string::npos);
}
