#include "load/LatencyRecorder.h"
#include <gtest/gtest.h>

namespace quetzallead {
namespace {

TEST(LatencyRecorderTest, QuantilesAreExact) {
  LatencyRecorder Recorder;
  EXPECT_EQ(Recorder.quantile(0.99), absl::ZeroDuration());
  for (int I = 1000; I >= 1; --I)
    Recorder.add(absl::Milliseconds(I));
  EXPECT_EQ(Recorder.quantile(0), absl::Milliseconds(1));
  EXPECT_EQ(Recorder.quantile(0.5), absl::Milliseconds(500));
  EXPECT_EQ(Recorder.quantile(0.99), absl::Milliseconds(990));
  EXPECT_EQ(Recorder.quantile(0.999), absl::Milliseconds(999));
  EXPECT_EQ(Recorder.quantile(1), absl::Milliseconds(1000));
  Recorder.add(absl::Milliseconds(5000));
  EXPECT_EQ(Recorder.quantile(1), absl::Milliseconds(5000));
}

} // namespace
} // namespace quetzallead
