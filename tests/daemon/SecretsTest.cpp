#include "daemon/Secrets.h"
#include <cstdlib>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>
#include <sys/stat.h>
#include <unistd.h>

using namespace quetzallead;

static const char *const Good = R"({
  "peer_key": "MDEyMzQ1Njc4OWFiY2RlZg==",
  "operator_token": "0123456789abcdef",
  "session_keys": [
    {"id": "k1", "secret": "MDEyMzQ1Njc4OWFiY2RlZjAxMjM0NTY3ODlhYmNkZWY="},
    {"id": "k2", "secret": "MDEyMzQ1Njc4OWFiY2RlZjAxMjM0NTY3ODlhYmNkZWY=",
     "not_before": "2026-12-01T00:00:00Z"}]
})";

static Error refusal(const std::string &Text) {
  auto Outcome = capture([&] { return parseSecrets(Text); });
  const auto *Failure = std::get_if<Error>(&Outcome);
  return Failure ? *Failure : Error{ErrorCode::Internal, "accepted", ""};
}

TEST(SecretsTest, ReadsKeysAndTimes) {
  auto Outcome = capture([] { return parseSecrets(Good); });
  ASSERT_TRUE(std::holds_alternative<Secrets>(Outcome));
  const auto &Read = std::get<Secrets>(Outcome);
  ASSERT_EQ(Read.PeerKeys.size(), 1u);
  EXPECT_EQ(Read.PeerKeys[0], "0123456789abcdef");
  ASSERT_EQ(Read.SessionKeys.size(), 2u);
  EXPECT_EQ(Read.SessionKeys[0].NotBefore, absl::InfinitePast());
  EXPECT_EQ(
      absl::FormatTime(Read.SessionKeys[1].NotBefore, absl::UTCTimeZone()),
      "2026-12-01T00:00:00+00:00");
}

TEST(SecretsTest, RefusalsNameTheFieldAndNeverTheValue) {
  std::string Text = Good;
  std::string Key = "MDEyMzQ1Njc4OWFiY2RlZg==";
  Text.replace(Text.find(Key), Key.size(), "hunter2!");
  Error Failure = refusal(Text);
  EXPECT_EQ(Failure.Where, "peer_key");
  EXPECT_EQ(Failure.Message.find("hunter2"), std::string::npos);
  EXPECT_EQ(refusal("{\"operator_token\": hunter2}").text().find("hunter2"),
            std::string::npos);
}

TEST(SecretsTest, ShortSessionKeyIsRefusedByItsField) {
  std::string Text = Good;
  std::string Key = "MDEyMzQ1Njc4OWFiY2RlZjAxMjM0NTY3ODlhYmNkZWY=";
  Text.replace(Text.find(Key), Key.size(), "MDEyMzQ1Njc4OWFiY2RlZg==");
  EXPECT_EQ(refusal(Text).Where, "session_keys[0].secret");
}

TEST(SecretsTest, ExamplesAreAccepted) {
  for (const char *Deployment : {"escaparates", "rahbar"}) {
    std::ifstream In(std::string(QUETZALLEAD_SOURCE_DIR "/examples/") +
                     Deployment + "/secrets.json");
    std::ostringstream Text;
    Text << In.rdbuf();
    EXPECT_EQ(refusal(Text.str()).Message, "accepted");
  }
}

TEST(SecretsTest, FileOpenToOthersIsRefused) {
  std::string Path = testing::TempDir() + "secrets-XXXXXX";
  int File = mkstemp(Path.data());
  ASSERT_GE(File, 0);
  close(File);
  std::ofstream(Path) << Good;
  EXPECT_TRUE(std::holds_alternative<Secrets>(
      capture([&] { return loadSecrets(Path); })));
  chmod(Path.c_str(), 0644);
  auto Outcome = capture([&] { return loadSecrets(Path); });
  ASSERT_TRUE(std::holds_alternative<Error>(Outcome));
  EXPECT_EQ(std::get<Error>(Outcome).Code, ErrorCode::PermissionDenied);
  unlink(Path.c_str());
}
