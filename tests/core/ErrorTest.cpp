#include "quetzallead/Error.h"
#include <gtest/gtest.h>

using namespace quetzallead;

static Result<int> half(int Value) {
  if (Value % 2 != 0)
    return fail(ErrorCode::InvalidArgument, "must be even", "value");
  return Value / 2;
}

TEST(ErrorTest, CaptureReturnsTheValue) {
  auto Outcome = capture([] { return half(4); });
  ASSERT_EQ(Outcome.index(), 0u);
  EXPECT_EQ(std::get<0>(Outcome), 2);
}

TEST(ErrorTest, CaptureReturnsTheErrorWithItsPlace) {
  auto Outcome = capture([] { return half(3); });
  ASSERT_EQ(Outcome.index(), 1u);
  EXPECT_EQ(std::get<Error>(Outcome).Code, ErrorCode::InvalidArgument);
  EXPECT_EQ(std::get<Error>(Outcome).text(), "value: must be even");
}
