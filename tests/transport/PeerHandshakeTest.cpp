#include "transport/peer/PeerHandshake.h"
#include "transport/peer/PeerLinkChoice.h"
#include <gtest/gtest.h>

using namespace quetzallead;
using State = PeerHandshake::State;

namespace {

PeerIdentity identity(const std::string &Name) {
  return {Name, "zone-1", 5, "127.0.0.1:1"};
}

/// Runs all three frames; false if a side gives no frame where one is due.
bool run(PeerHandshake &Dialler, PeerHandshake &Acceptor) {
  auto Challenge = Acceptor.receive(Dialler.hello());
  if (!Challenge)
    return false;
  auto Proof = Dialler.receive(*Challenge);
  if (!Proof)
    return false;
  EXPECT_FALSE(Acceptor.receive(*Proof).has_value());
  return true;
}

} // namespace

TEST(PeerHandshakeTest, ProvesBothSides) {
  auto Dialler = PeerHandshake::dial(identity("a"), {"key"});
  auto Acceptor = PeerHandshake::accept(identity("b"), {"key"});
  ASSERT_TRUE(run(Dialler, Acceptor));
  EXPECT_EQ(Dialler.state(), State::Done);
  EXPECT_EQ(Acceptor.state(), State::Done);
  EXPECT_EQ(Dialler.peer(), identity("b"));
  EXPECT_EQ(Acceptor.peer(), identity("a"));
}

TEST(PeerHandshakeTest, AcceptsAnyKeyOfTheListDuringARotation) {
  const std::vector<std::vector<std::string>> Stages = {
      {"old"}, {"old", "new"}, {"new", "old"}, {"new"}};
  for (std::size_t I = 0; I + 1 < Stages.size(); ++I)
    for (bool Swap : {false, true}) {
      auto Dialler = PeerHandshake::dial(identity("a"), Stages[I + Swap]);
      auto Acceptor = PeerHandshake::accept(identity("b"), Stages[I + !Swap]);
      EXPECT_TRUE(run(Dialler, Acceptor));
      EXPECT_EQ(Acceptor.state(), State::Done);
    }
}

TEST(PeerHandshakeTest, RefusesAWrongKeyOnEitherSide) {
  auto Dialler = PeerHandshake::dial(identity("a"), {"key"});
  auto Acceptor = PeerHandshake::accept(identity("b"), {"other"});
  EXPECT_FALSE(run(Dialler, Acceptor));
  EXPECT_EQ(Dialler.state(), State::Failed);
  EXPECT_EQ(Acceptor.state(), State::Running);
  // A dialler that holds another first key than the acceptor knows.
  auto Half = PeerHandshake::dial(identity("a"), {"wrong", "other"});
  EXPECT_TRUE(
      run(Half, Acceptor = PeerHandshake::accept(identity("b"), {"other"})));
  EXPECT_EQ(Acceptor.state(), State::Failed);
}

TEST(PeerHandshakeTest, RefusesAReflectedProof) {
  // A stranger without the key returns the acceptor's own proof to it.
  auto Stranger = PeerHandshake::dial(identity("a"), {"unknown"});
  auto Acceptor = PeerHandshake::accept(identity("b"), {"key"});
  auto Challenge = Acceptor.receive(Stranger.hello());
  ASSERT_TRUE(Challenge.has_value());
  PeerFrame Reflected{"proof", {{"proof", Challenge->Body["proof"]}}};
  Acceptor.receive(Reflected);
  EXPECT_EQ(Acceptor.state(), State::Failed);
}

TEST(PeerHandshakeTest, RefusesItsOwnHelloAndChallenge) {
  auto Dialler = PeerHandshake::dial(identity("a"), {"key"});
  auto Own = PeerHandshake::accept(identity("a"), {"key"});
  EXPECT_FALSE(Own.receive(Dialler.hello()).has_value());
  EXPECT_EQ(Own.state(), State::Failed);
  // Its hello comes back under another name and with its own nonce.
  PeerFrame Mirrored = Dialler.hello();
  Mirrored.Type = "challenge";
  Mirrored.Body["instance"] = "b";
  Mirrored.Body["proof"] = Mirrored.Body["nonce"];
  Dialler.receive(Mirrored);
  EXPECT_EQ(Dialler.state(), State::Failed);
}

TEST(PeerHandshakeTest, RefusesAProofFromAnotherRun) {
  auto Dialler = PeerHandshake::dial(identity("a"), {"key"});
  auto First = PeerHandshake::accept(identity("b"), {"key"});
  auto Proof = Dialler.receive(*First.receive(Dialler.hello()));
  auto Second = PeerHandshake::accept(identity("b"), {"key"});
  Second.receive(Dialler.hello());
  Second.receive(*Proof);
  EXPECT_EQ(Second.state(), State::Failed);
}

TEST(PeerHandshakeTest, RefusesFramesOutOfTurn) {
  for (const char *Type : {"proof", "challenge", "query", ""}) {
    auto Acceptor = PeerHandshake::accept(identity("b"), {"key"});
    EXPECT_FALSE(Acceptor.receive({Type, nlohmann::json::object()}));
    EXPECT_EQ(Acceptor.state(), State::Failed);
  }
  auto Acceptor = PeerHandshake::accept(identity("b"), {"key"});
  Acceptor.receive({"hello", 7});
  EXPECT_EQ(Acceptor.state(), State::Failed);
}

TEST(PeerLinkChoiceTest, BothEndsKeepTheSameLink) {
  PeerLinkRank ByFirst{5, true};
  PeerLinkRank BySecond{5, false};
  EXPECT_TRUE(replacesLink(ByFirst, BySecond));
  EXPECT_FALSE(replacesLink(BySecond, ByFirst));
  EXPECT_TRUE(replacesLink(ByFirst, ByFirst));
  EXPECT_TRUE(replacesLink(PeerLinkRank{6, false}, ByFirst));
  EXPECT_FALSE(replacesLink(PeerLinkRank{4, true}, BySecond));
}
