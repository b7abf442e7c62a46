#include "runtime/UnhandledExceptions.h"
#include "runtime/Logger.h"
#include "runtime/PeerScope.h"
#include <fstream>
#include <gtest/gtest.h>
#include <iterator>
#include <stdexcept>
#include <thread>
#include <unistd.h>

using namespace quetzallead;

namespace {

std::string addressOf(const void *Peer) {
  return *static_cast<const std::string *>(Peer);
}

void endInAThread() {
  reportUnhandledExceptions();
  std::thread([] {
    const std::string Outer = "10.0.0.1:1";
    const std::string Inner = "10.0.0.2:2";
    PeerScope First("reading requests", addressOf, &Outer);
    { PeerScope Ended("reading a response", addressOf, &Inner); }
    throw std::length_error("field value \"too\" large");
  }).join();
}

class UnhandledExceptionsTest : public testing::Test {
protected:
  ~UnhandledExceptionsTest() override {
    initLogging(LogLevel::Warning, "", "test");
  }
};

} // namespace

// Nothing told which peer's bytes had ended the process.
TEST_F(UnhandledExceptionsTest, NameTheActivityAndThePeer) {
  EXPECT_DEATH(
      {
        initLogging(LogLevel::Warning, "", "i-1");
        endInAThread();
      },
      "level=error instance=i-1 event=unhandled_exception "
      "type=std::length_error what=\"field value .\"too.\" large\" "
      "activity=\"reading requests\" address=10.0.0.1:1");
}

TEST_F(UnhandledExceptionsTest, GoToTheFileOfTheLog) {
  const std::string Path = testing::TempDir() + "quetzallead-unhandled-" +
                           std::to_string(getpid()) + ".log";
  EXPECT_DEATH(
      {
        initLogging(LogLevel::Warning, Path, "i-1");
        logEvent(LogLevel::Warning, "before");
        endInAThread();
      },
      "");
  std::ifstream In(Path);
  const std::string Text((std::istreambuf_iterator<char>(In)),
                         std::istreambuf_iterator<char>());
  std::remove(Path.c_str());
  EXPECT_NE(Text.find("event=unhandled_exception"), std::string::npos) << Text;
}
