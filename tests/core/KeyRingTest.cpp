#include "core/session/KeyRing.h"

#include <gtest/gtest.h>

namespace quetzallead {
namespace {

const TimePoint Start = absl::FromUnixSeconds(1'000'000);

SigningKey keyCalled(const std::string &Id, TimePoint NotBefore) {
  return SigningKey{Id, std::string(SigningKey::MinSecretBytes, 's'),
                    NotBefore};
}

ErrorCode codeOf(const std::vector<SigningKey> &Keys) {
  const auto Outcome = capture([&] { return KeyRing::make(Keys); });
  const Error *E = std::get_if<Error>(&Outcome);
  return E ? E->Code : ErrorCode::Internal;
}

TEST(KeyRingTest, RefusesBadKeys) {
  const SigningKey Good = keyCalled("a", Start);
  SigningKey Short = Good;
  Short.Secret.pop_back();
  EXPECT_EQ(codeOf({}), ErrorCode::InvalidArgument);
  EXPECT_EQ(codeOf({Good, Good}), ErrorCode::InvalidArgument);
  EXPECT_EQ(codeOf({Short}), ErrorCode::InvalidArgument);
  EXPECT_EQ(codeOf({keyCalled("", Start)}), ErrorCode::InvalidArgument);
  EXPECT_EQ(codeOf({keyCalled("a.b", Start)}), ErrorCode::InvalidArgument);
}

TEST(KeyRingTest, SignsWithTheNewestKeyWhoseTimeHasCome) {
  const auto Ring = KeyRing::make(
      {keyCalled("new", Start + absl::Hours(1)), keyCalled("old", Start)});
  ASSERT_TRUE(Ring);
  EXPECT_EQ(Ring->signingKey(Start - absl::Hours(1)).Id, "old");
  EXPECT_EQ(Ring->signingKey(Start).Id, "old");
  EXPECT_EQ(Ring->signingKey(Start + absl::Hours(1)).Id, "new");
}

TEST(KeyRingTest, FindsEveryKeyAtAnyTime) {
  const auto Ring =
      KeyRing::make({keyCalled("a", Start), keyCalled("b", Start)});
  ASSERT_TRUE(Ring);
  EXPECT_EQ(Ring->find("b")->Id, "b");
  EXPECT_EQ(Ring->find("c"), nullptr);
}

} // namespace
} // namespace quetzallead
