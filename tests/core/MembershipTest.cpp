#include "GossipWorld.h"

#include "absl/strings/str_cat.h"
#include <algorithm>
#include <gtest/gtest.h>

namespace quetzallead {
namespace {

constexpr int Few = 9;
constexpr int FewZones = 3;
constexpr int Many = 100;
constexpr int ManyZones = 8;
constexpr std::uint32_t Seed = 11;

// Bounds in rounds of 250 ms.
constexpr int JoinRounds = 40;
constexpr int NoticeRounds = 12;
constexpr int DetectionRounds = 60;
constexpr int HealRounds = 160;

class MembershipTest : public ::testing::TestWithParam<std::pair<int, int>> {
protected:
  MembershipTest() : World(GetParam().first, GetParam().second, Seed) {}

  bool converges(int Limit) {
    return World.runUntil([&] { return World.allAgree(); }, Limit) >= 0;
  }

  GossipWorld World;
};

INSTANTIATE_TEST_SUITE_P(Sizes, MembershipTest,
                         ::testing::Values(std::make_pair(Few, FewZones),
                                           std::make_pair(Many, ManyZones)));

TEST_P(MembershipTest, JoinsThroughTheInstanceList) {
  EXPECT_TRUE(converges(JoinRounds));
  EXPECT_EQ(World.Deaths, 0);
}

TEST_P(MembershipTest, NoLivingInstanceIsTakenForDeadUnderLoss) {
  World.LossPercent = 15;
  World.run(400);
  EXPECT_EQ(World.Deaths, 0);
  // Under loss there is always a suspicion or its contradiction under way.
  World.LossPercent = 0;
  EXPECT_TRUE(converges(JoinRounds));
}

TEST_P(MembershipTest, ALostInstanceIsDeadForAll) {
  ASSERT_TRUE(converges(JoinRounds));
  World.kill(3);
  EXPECT_TRUE(converges(DetectionRounds));
}

TEST_P(MembershipTest, ARestartReplacesTheOldIncarnation) {
  ASSERT_TRUE(converges(JoinRounds));
  World.kill(3);
  World.run(2);
  World.restart(3);
  EXPECT_TRUE(converges(JoinRounds));
  EXPECT_EQ(World.at(0).members().find("i3")->Record.Incarnation, 2u);
}

TEST_P(MembershipTest, ACutZoneGoesOnAndHeals) {
  ASSERT_TRUE(converges(JoinRounds));
  const int Zones = GetParam().second;
  World.Connected = [=](int A, int B) {
    return (A % Zones == 0) == (B % Zones == 0);
  };
  World.run(240);
  EXPECT_EQ(World.view(0, 1), MemberState::Dead);
  EXPECT_EQ(World.view(1, 0), MemberState::Dead);
  EXPECT_EQ(World.view(0, Zones), MemberState::Alive);
  EXPECT_EQ(World.view(1, 2), MemberState::Alive);
  World.Connected = [](int, int) { return true; };
  EXPECT_TRUE(converges(HealRounds));
}

TEST_P(MembershipTest, NewsOfAServerReachesAllInTime) {
  ASSERT_TRUE(converges(JoinRounds));
  World.LossPercent = 10;
  World.act(
      4, World.at(4).noticeServer("s1", ServerNoticeState::Leaving, World.Now));
  EXPECT_GE(World.runUntil(
                [&] { return World.allHold("s1", ServerNoticeState::Leaving); },
                NoticeRounds),
            0);
}

TEST_P(MembershipTest, NewsOfAServerOvertakesThatOfManyInstances) {
  // Right after the start the records of all instances are urgent news.
  World.run(8);
  World.act(
      4, World.at(4).noticeServer("s1", ServerNoticeState::Leaving, World.Now));
  EXPECT_GE(World.runUntil(
                [&] { return World.allHold("s1", ServerNoticeState::Leaving); },
                NoticeRounds),
            0);
}

TEST_P(MembershipTest, AServerThatComesBackIsBelieved) {
  ASSERT_TRUE(converges(JoinRounds));
  World.act(4,
            World.at(4).noticeServer("s1", ServerNoticeState::Dead, World.Now));
  World.run(NoticeRounds);
  World.act(5,
            World.at(5).noticeServer("s1", ServerNoticeState::Back, World.Now));
  EXPECT_GE(World.runUntil(
                [&] { return World.allHold("s1", ServerNoticeState::Back); },
                NoticeRounds),
            0);
}

TEST_P(MembershipTest, LeavingAndItsSuccessorsAreKnownToAll) {
  ASSERT_TRUE(converges(JoinRounds));
  World.act(2, World.at(2).leave(World.Now));
  World.run(NoticeRounds);
  for (int I = 0; I < World.size(); ++I)
    EXPECT_EQ(World.view(I, 2), MemberState::Leaving);
  EXPECT_FALSE(World.at(2).rankOf("watch").has_value());
  const std::vector<std::string> Successors =
      World.at(2).successorsFor("i2/1", 3);
  EXPECT_EQ(Successors.size(), 3u);
  World.act(2, World.at(2).depart(Successors, World.Now));
  World.run(2);
  World.kill(2);
  World.restart(2);
  World.run(JoinRounds);
  for (int I = 0; I < World.size(); ++I) {
    const DepartureNotice *Notice = World.at(I).notices().departure("i2", 1);
    ASSERT_NE(Notice, nullptr);
    EXPECT_EQ(Notice->Successors, Successors);
  }
}

TEST_P(MembershipTest, OneInstanceOfAZoneRanksFirst) {
  ASSERT_TRUE(converges(JoinRounds));
  const int Zones = GetParam().second;
  for (int Zone = 0; Zone < Zones; ++Zone) {
    int First = 0;
    for (int I = Zone; I < World.size(); I += Zones)
      First += World.at(I).rankOf("watch") == std::size_t{0} ? 1 : 0;
    EXPECT_EQ(First, 1);
  }
}

TEST_P(MembershipTest, SheetRevisionsAreKnownToAll) {
  ASSERT_TRUE(converges(JoinRounds));
  for (int I = 0; I < World.size(); ++I)
    World.at(I).setSheetRevision(I == 0 ? 8 : 7, World.Now);
  EXPECT_TRUE(converges(JoinRounds));
  EXPECT_EQ(World.at(1).greatestSheetRevision(), 8u);
}

TEST_P(MembershipTest, ControlTrafficStaysInItsBudget) {
  ASSERT_TRUE(converges(JoinRounds));
  World.run(40);
  World.BytesSent = 0;
  World.run(400);
  const double Seconds = 400 * 0.25;
  const double PerInstance =
      static_cast<double>(World.BytesSent) / Seconds / World.size();
  RecordProperty("bytes_per_second", static_cast<int>(PerInstance));
  EXPECT_LT(PerInstance, 10'000);
}

TEST(MembershipListTest, AGhostOfTheListIsNobodysMember) {
  GossipWorld World(Few, FewZones, Seed);
  World.kill(8);
  World.run(DetectionRounds);
  EXPECT_EQ(World.view(0, 8), MemberState::Dead);
  World.act(0, World.at(0).listed({}, World.Now));
  EXPECT_EQ(World.at(0).members().find("i8"), nullptr);
  // An instance that the list lost is kept.
  EXPECT_EQ(World.view(0, 1), MemberState::Alive);
}

TEST(MembershipListTest, AnIntroductionAddsAMemberAndRemovesNone) {
  GossipWorld World(1, 1, Seed);
  Membership &M = World.at(0);
  M.listed({ListedInstance{"listed", "127.0.0.1:1", "z0", false}}, World.Now);
  MemberRecord Peer;
  Peer.Name = "met";
  Peer.Address = "127.0.0.1:2";
  Peer.Zone = "z0";
  Peer.Incarnation = 7;
  EXPECT_FALSE(M.introduced(Peer, World.Now).empty());
  ASSERT_NE(M.members().find("met"), nullptr);
  EXPECT_EQ(M.members().find("met")->Record.Incarnation, 7u);
  EXPECT_NE(M.members().find("listed"), nullptr);
  // An older incarnation that is still linked does not put it back.
  Peer.Incarnation = 6;
  M.introduced(Peer, World.Now);
  EXPECT_EQ(M.members().find("met")->Record.Incarnation, 7u);
}

TEST(MembershipListTest, AnOldProcessLearnsThatItIsReplaced) {
  GossipWorld World(Few, FewZones, Seed);
  World.run(JoinRounds);
  MemberRecord Newer = World.at(3).self();
  Newer.Incarnation += 1;
  GossipMessage Message;
  Message.Sender = World.at(0).self();
  Message.Members.push_back(Newer);
  World.act(3, World.at(3).received(Message, World.Now));
  World.act(3, World.at(3).received(Message, World.Now));
  EXPECT_EQ(World.Supersessions, 1);
}

TEST(ServerNoticeTest, ExpiresAndIsNotRepeatedTooSoon) {
  GossipWorld World(1, 1, Seed);
  Membership &M = World.at(0);
  const auto Notice = [&](ServerNoticeState State) {
    return M.noticeServer("s1", State, World.Now).size();
  };
  EXPECT_EQ(Notice(ServerNoticeState::Back), 0u);
  EXPECT_EQ(Notice(ServerNoticeState::Dead), 1u);
  EXPECT_EQ(Notice(ServerNoticeState::Back), 0u);
  World.Now += World.Options.NoticeInterval;
  M.tick(World.Now);
  EXPECT_EQ(Notice(ServerNoticeState::Back), 1u);
  World.Now += World.Options.NoticeInterval;
  M.tick(World.Now);
  EXPECT_EQ(Notice(ServerNoticeState::Dead), 1u);
  World.Now += World.Options.ServerNoticeLife;
  const MembershipActions Actions = M.tick(World.Now);
  ASSERT_EQ(Actions.size(), 1u);
  EXPECT_EQ(std::get<ServerNoticeChanged>(Actions[0]).Notice.State,
            ServerNoticeState::Back);
  EXPECT_EQ(M.notices().server("s1"), nullptr);
}

} // namespace
} // namespace quetzallead
