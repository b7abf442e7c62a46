#include "daemon/KeyReloader.h"
#include "absl/synchronization/notification.h"
#include <cstdio>
#include <fstream>
#include <gtest/gtest.h>
#include <sys/stat.h>
#include <unistd.h>

using namespace quetzallead;

namespace {

/// A secrets file that goes when the test ends.
class SecretsFile {
public:
  SecretsFile()
      : Path(testing::TempDir() + "secrets-" + std::to_string(getpid()) +
             ".json") {}
  ~SecretsFile() { std::remove(Path.c_str()); }

  void write(const std::string &KeyId) const {
    std::ofstream(Path) << R"({"peer_key":")" << Key
                        << R"(","operator_token":"a-long-operator-token",)"
                        << R"("session_keys":[{"id":")" << KeyId
                        << R"(","secret":")" << Key << R"("}]})";
    chmod(Path.c_str(), S_IRUSR | S_IWUSR);
  }
  void writeGarbage() const { std::ofstream(Path) << "{"; }

  const std::string Path;

private:
  static constexpr const char *Key =
      "MDEyMzQ1Njc4OTAxMjM0NTY3ODkwMTIzNDU2Nzg5MDE=";
};

} // namespace

TEST(KeyReloaderTest, HandsOnNewKeysAndOutlivesAWrongFile) {
  SecretsFile File;
  File.write("k1");
  auto Timers = TimerService::make();
  absl::Notification Reloaded;
  bool HasNewKey = false;
  KeyReloader Reloader(File.Path, *Timers,
                       [&](const std::shared_ptr<const KeyRing> &Ring) {
                         HasNewKey = Ring->find("k2") != nullptr;
                         if (!Reloaded.HasBeenNotified())
                           Reloaded.Notify();
                       });
  File.writeGarbage();
  File.write("k2");
  ASSERT_TRUE(Reloaded.WaitForNotificationWithTimeout(absl::Seconds(60)));
  EXPECT_TRUE(HasNewKey);
}
