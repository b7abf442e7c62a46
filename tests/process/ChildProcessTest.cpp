#include "support/ChildProcess.h"
#include "support/WaitUntil.h"
#include <gtest/gtest.h>

using namespace quetzallead;

TEST(ChildProcessTest, CapturesOutputAndExitCode) {
  const auto Child =
      ChildProcess::start("/bin/sh", {"-c", "echo out; echo err >&2; exit 3"});
  ASSERT_NE(Child, nullptr);
  EXPECT_EQ(Child->wait(GenerousLimit), 3);
  EXPECT_TRUE(Child->waitForOutput("out\n", GenerousLimit));
  EXPECT_TRUE(Child->waitForOutput("err\n", GenerousLimit));
}

TEST(ChildProcessTest, WaitingForOutputEndsWithTheProcess) {
  const auto Child = ChildProcess::start("/bin/true", {});
  ASSERT_NE(Child, nullptr);
  EXPECT_FALSE(Child->waitForOutput("never", GenerousLimit));
}

TEST(ChildProcessTest, KillEndsAPausedProcess) {
  const auto Child = ChildProcess::start("/bin/sleep", {"60"});
  ASSERT_NE(Child, nullptr);
  Child->pause();
  EXPECT_TRUE(Child->running());
  Child->kill();
  EXPECT_EQ(Child->wait(GenerousLimit), 128 + 9);
}

TEST(ChildProcessTest, AMissingProgramIsNull) {
  EXPECT_EQ(ChildProcess::start("/no/such/program", {}), nullptr);
}
