#include "core/session/SessionToken.h"

#include "TokenFaultOf.h"
#include "absl/strings/str_cat.h"
#include "core/session/KeyRing.h"
#include "core/session/SignedText.h"
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace quetzallead {
namespace {

const TimePoint Now = absl::FromUnixSeconds(1'700'000'000);
constexpr std::uint64_t Seed = 7;

KeyRing ringOf(const std::vector<std::string> &Ids) {
  std::vector<SigningKey> Keys;
  Keys.reserve(Ids.size());
  for (const std::string &Id : Ids)
    Keys.push_back({Id, absl::StrCat(std::string(40, 'x'), Id),
                    Now + absl::Hours(Keys.size())});
  return *KeyRing::make(Keys);
}

SessionToken newSession(absl::string_view Caller = "counter 3") {
  std::mt19937_64 Engine(Seed);
  return *openSession(Caller, Now, absl::Hours(12), Engine);
}

std::optional<TokenFault> faultOf(const KeyRing &Keys, absl::string_view Text,
                                  TimePoint When = Now) {
  return tokenFaultOf([&] { return verifySession(Keys, Text, When); });
}

TEST(SessionTokenTest, IsGoodAtEveryInstanceWithTheKey) {
  const SessionToken Token = *newSession().withSeen("search", 42);
  const std::string Text = issueSession(ringOf({"a"}), Token, Now);
  const auto Back = verifySession(ringOf({"a", "b"}), Text, Now);
  ASSERT_TRUE(Back);
  EXPECT_EQ(*Back, Token);
  EXPECT_EQ(Back->seenVersion("search"), 42u);
  EXPECT_EQ(Back->seenVersion("desk"), 0u);
}

TEST(SessionTokenTest, LivesThroughTheRotationOfTheKey) {
  const std::string Text = issueSession(ringOf({"a"}), newSession(), Now);
  const TimePoint Rotated = Now + absl::Hours(2);
  const KeyRing Both = ringOf({"a", "b"});
  const auto Token = verifySession(Both, Text, Rotated);
  ASSERT_TRUE(Token);
  const std::string Reissued = issueSession(Both, *Token, Rotated);
  EXPECT_EQ(Reissued.substr(0, 2), "b.");
  EXPECT_TRUE(verifySession(ringOf({"b"}), Reissued, Rotated));
  EXPECT_EQ(faultOf(ringOf({"b"}), Text), TokenFault::UnknownKey);
}

TEST(SessionTokenTest, RefusalsAreTyped) {
  const KeyRing Keys = ringOf({"a"});
  const SessionToken Token = newSession();
  const std::string Text = issueSession(Keys, Token, Now);
  EXPECT_EQ(faultOf(Keys, Text, Token.Expires), TokenFault::Expired);
  EXPECT_EQ(faultOf(Keys, ""), TokenFault::Malformed);
  EXPECT_EQ(faultOf(Keys, "a.b"), TokenFault::Malformed);
  EXPECT_EQ(faultOf(Keys, std::string(MaxSignedTextBytes + 1, 'a')),
            TokenFault::Oversized);
  EXPECT_EQ(faultOf(Keys, Text + "A"), TokenFault::BadSignature);
  const std::string Ticket =
      signText(Keys, SignedKind::Ticket, "anything", Now);
  EXPECT_EQ(faultOf(Keys, Ticket), TokenFault::BadSignature);
  const std::string Nonsense =
      signText(Keys, SignedKind::Session, "not CBOR", Now);
  EXPECT_EQ(faultOf(Keys, Nonsense), TokenFault::Malformed);
}

TEST(SessionTokenTest, SeenVersionsNeverGoBack) {
  const SessionToken Token = *newSession().withSeen("search", 42);
  EXPECT_EQ(Token.withSeen("search", 41)->seenVersion("search"), 42u);
  EXPECT_EQ(Token.withSeen("search", 43)->seenVersion("search"), 43u);
}

TEST(SessionTokenTest, TheLargestTokenFits) {
  SessionToken Token = newSession(std::string(SessionToken::MaxNameBytes, 'c'));
  const std::string Padding(SessionToken::MaxNameBytes - 2, 'p');
  for (std::size_t I = 0; I < SessionToken::MaxSeenServices; ++I)
    Token = *Token.withSeen(absl::StrCat(10 + I, Padding), ~std::uint64_t{0});
  const KeyRing Keys = ringOf({"a"});
  EXPECT_TRUE(verifySession(Keys, issueSession(Keys, Token, Now), Now));
  const auto Outcome = capture([&] { return Token.withSeen("one more", 1); });
  EXPECT_EQ(std::get<Error>(Outcome).Code, ErrorCode::ResourceExhausted);
}

TEST(SessionTokenTest, RenewalNeverShortens) {
  const SessionToken Token = newSession();
  EXPECT_EQ(Token.renewed(Now, absl::Hours(1)).Expires, Token.Expires);
  EXPECT_EQ(Token.renewed(Now, absl::Hours(13)).Expires, Now + absl::Hours(13));
}

RC_GTEST_PROP(SessionTokenProperty, AnyChangedByteIsRefused,
              (const std::string &Caller)) {
  const KeyRing Keys = ringOf({"a", "b"});
  const SessionToken Token = *newSession(Caller.substr(0, 32)).withSeen("s", 9);
  std::string Text = issueSession(Keys, Token, Now);
  const auto At = *rc::gen::inRange<std::size_t>(0, Text.size());
  Text[At] = static_cast<char>(Text[At] ^ *rc::gen::inRange(1, 256));
  RC_ASSERT(faultOf(Keys, Text).has_value());
}

RC_GTEST_PROP(SessionTokenProperty, AnyCutIsRefused, ()) {
  const KeyRing Keys = ringOf({"a"});
  const std::string Text = issueSession(Keys, newSession(), Now);
  const auto Length = *rc::gen::inRange<std::size_t>(0, Text.size());
  RC_ASSERT(faultOf(Keys, Text.substr(0, Length)).has_value());
}

RC_GTEST_PROP(SessionTokenProperty, RandomBytesAreRefused,
              (const std::string &Bytes)) {
  const KeyRing Keys = ringOf({"a"});
  RC_ASSERT(faultOf(Keys, Bytes).has_value());
  // Also past the signature, where only a holder of the key could send them.
  const std::string Signed = signText(Keys, SignedKind::Session, Bytes, Now);
  RC_ASSERT(faultOf(Keys, Signed).has_value());
}

} // namespace
} // namespace quetzallead
