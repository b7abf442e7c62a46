#include "quetzallead/Submission.h"
#include <gtest/gtest.h>

using namespace quetzallead;

TEST(SubmissionTest, ErrorsNameTheFieldOfTheSheet) {
  auto Outcome = capture([] {
    return parseSubmission(R"({"submission_id": "x", "base_revision": 0,
      "author": "ana", "reason": "r", "sheet": "{\"format\": 1}"})");
  });
  ASSERT_TRUE(std::holds_alternative<Error>(Outcome));
  EXPECT_EQ(std::get<Error>(Outcome).Where, "sheet.deployment");
}
