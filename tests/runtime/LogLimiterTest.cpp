#include "runtime/LogLimiter.h"
#include "absl/time/clock.h"
#include "runtime/Logger.h"
#include <algorithm>
#include <cstdlib>
#include <gtest/gtest.h>
#include <unistd.h>

using namespace quetzallead;

namespace {

const TimePoint Start = absl::UnixEpoch() + absl::Hours(1);

} // namespace

TEST(LogLimiterTest, FloodOfOneEventLeavesRoomForOthers) {
  LogLimiter Limiter(10);
  int Admitted = 0;
  for (int I = 0; I < 10000; ++I)
    Admitted += Limiter.admit("flood", Start + absl::Milliseconds(I)) ? 1 : 0;
  EXPECT_LE(Admitted, 10 * 10 + 20);
  EXPECT_GE(Admitted, 10 * 10);
  EXPECT_TRUE(Limiter.admit("other", Start + absl::Seconds(10)));
}

TEST(LogLimiterTest, TellsWhatWasDroppedOnceASecond) {
  LogLimiter Limiter(1);
  for (int I = 0; I < 5; ++I)
    Limiter.admit("event", Start);
  EXPECT_EQ(Limiter.takeDropped(Start), 3u);
  Limiter.noteUnwritten(2);
  EXPECT_EQ(Limiter.takeDropped(Start + absl::Milliseconds(900)), 0u);
  EXPECT_EQ(Limiter.takeDropped(Start + absl::Seconds(1)), 2u);
  EXPECT_EQ(Limiter.takeDropped(Start + absl::Seconds(3)), 0u);
}

namespace {

/// Logs into a pipe that nobody reads; ends the process with 0 if no call
/// waited and the drops are told once there is room again.
void logIntoFullPipe() {
  int Ends[2];
  if (pipe(Ends) != 0 || dup2(Ends[1], STDOUT_FILENO) < 0)
    std::exit(2);
  initBoundedLogging(LogLevel::Info, "i", 1e6);
  const std::string Long(2000, 'x');
  // A call that waited would never return; the alarm ends the process.
  alarm(20);
  for (int I = 0; I < 1000; ++I)
    logEvent(LogLevel::Info, "flood", {{"text", Long}});
  std::string Read(1 << 20, '\0');
  if (read(Ends[0], Read.data(), Read.size()) <= 0)
    std::exit(3);
  absl::SleepFor(absl::Milliseconds(1100));
  logEvent(LogLevel::Info, "after");
  const ssize_t Count = read(Ends[0], Read.data(), Read.size());
  const std::string Text =
      Read.substr(0, static_cast<std::size_t>(std::max<ssize_t>(0, Count)));
  std::exit(Text.find("event=log_dropped lines=") != std::string::npos ? 0 : 4);
}

} // namespace

TEST(LogLimiterTest, ReaderThatStopsDelaysNobody) {
  testing::FLAGS_gtest_death_test_style = "threadsafe";
  EXPECT_EXIT(logIntoFullPipe(), testing::ExitedWithCode(0), "");
}
