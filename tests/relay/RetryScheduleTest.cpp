#include "core/relay/RetrySchedule.h"
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace quetzallead;

static const TimePoint Start = absl::UnixEpoch() + absl::Hours(1);

TEST(RetryScheduleTest, SpacesRetriesByInterval) {
  RetrySchedule S;
  for (int I = 0; I < 10; ++I)
    EXPECT_EQ(S.reserve(absl::Milliseconds(50), absl::Milliseconds(5),
                        absl::Seconds(1), Start),
              absl::Milliseconds(50 + 5 * I));
  // All assigned retry times have passed by then.
  EXPECT_EQ(S.reserve(absl::Milliseconds(50), absl::Milliseconds(5),
                      absl::Seconds(1), Start + absl::Seconds(1)),
            absl::Milliseconds(50));
}

TEST(RetryScheduleTest, ReservesNothingBeyondMaxDelay) {
  RetrySchedule S;
  S.reserve(absl::Milliseconds(90), absl::Milliseconds(20),
            absl::Milliseconds(100), Start);
  for (int I = 0; I < 5; ++I)
    EXPECT_EQ(S.reserve(absl::Milliseconds(90), absl::Milliseconds(20),
                        absl::Milliseconds(100), Start),
              absl::Milliseconds(90));
}

RC_GTEST_PROP(RetryScheduleTest, NeverEarlyAndNeverCloserThanInterval, ()) {
  RetrySchedule S;
  TimePoint Now = Start;
  TimePoint Previous = absl::InfinitePast();
  const Duration Interval = absl::Milliseconds(*rc::gen::inRange(1, 50));
  for (int I = 0; I < 50; ++I) {
    Now += absl::Milliseconds(*rc::gen::inRange(0, 30));
    const Duration Wait = absl::Milliseconds(*rc::gen::inRange(0, 200));
    const Duration Delay = S.reserve(Wait, Interval, absl::Hours(1), Now);
    RC_ASSERT(Delay >= Wait);
    RC_ASSERT(Now + Delay - Previous >= Interval);
    Previous = Now + Delay;
  }
}
