#include "daemon/KeyReloader.h"
#include <chrono>
#include <cstdio>
#include <fstream>
#include <future>
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
  std::promise<bool> Reloaded;
  KeyReloader Reloader(File.Path, *Timers,
                       [&](const std::shared_ptr<const KeyRing> &Ring) {
                         Reloaded.set_value(Ring->find("k2") != nullptr);
                       });
  File.writeGarbage();
  File.write("k2");
  std::future<bool> HasNewKey = Reloaded.get_future();
  ASSERT_EQ(HasNewKey.wait_for(std::chrono::seconds(60)),
            std::future_status::ready);
  EXPECT_TRUE(HasNewKey.get());
}
