#include "core/relay/WarmUp.h"
#include "core/relay/BackendPool.h"
#include "core/relay/ServerRestriction.h"
#include "relay/RelayRequestHarness.h"
#include <gtest/gtest.h>

using namespace quetzallead;

namespace {

constexpr double Rate = 8;

/// What a cold server tolerates in one second.
constexpr double tolerated(double PerSecond) { return PerSecond * 1.5 + 5; }

class WarmUpTest : public testing::Test {
protected:
  void setRate(RelayRequestHarness &H) const {
    for (auto &[Name, Service] : H.Sheet.Services)
      Service.WarmUpRate = Rate;
  }
};

/// All servers of the only service.
std::vector<ServerRef> serversOf(RelayRequestHarness &H) {
  return H.State->listedServers();
}

} // namespace

TEST_F(WarmUpTest, ServerIsColdUntilItSaysOtherwise) {
  const TimePoint Now = absl::UnixEpoch() + absl::Hours(1);
  WarmUp W;
  noteWarmUpLeft(W, absl::Seconds(3), Now);
  EXPECT_FALSE(isCold(W, Now)) << "no cap";
  setWarmUpRate(W, Rate, Now);
  EXPECT_TRUE(isCold(W, Now)) << "nothing is known yet";
  noteWarmUpLeft(W, absl::Seconds(3), Now);
  EXPECT_TRUE(isCold(W, Now + absl::Seconds(2)));
  EXPECT_FALSE(isCold(W, Now + absl::Seconds(3)));
  noteWarmUpLeft(W, absl::ZeroDuration(), Now);
  EXPECT_FALSE(isCold(W, Now));
  noteMayBeCold(W, Now);
  EXPECT_TRUE(isCold(W, Now + absl::Hours(1)));
  setWarmUpRate(W, 0, Now);
  EXPECT_FALSE(isCold(W, Now));
}

// A zone whose servers come back cold crashed them with its usual load: no
// second may bring a server more than it tolerates, from all instances.
TEST_F(WarmUpTest, AllInstancesTogetherKeepToTheCap) {
  constexpr int Count = 6;
  std::vector<std::string> Names;
  Names.reserve(Count);
  for (int I = 0; I < Count; ++I)
    Names.push_back("i" + std::to_string(I));
  TimePoint Now = absl::UnixEpoch() + absl::Hours(1);
  struct Instance {
    std::unique_ptr<SharingInstances> Sharing;
    PoolServer Server;
  };
  std::vector<Instance> Instances(Count);
  for (int I = 0; I < Count; ++I) {
    Instances[I].Sharing = std::make_unique<SharingInstances>(Names[I], 32);
    Instances[I].Sharing->update(Names, Count, Now);
    Instances[I].Server.Info.Id = "s";
    setWarmUpRate(Instances[I].Server.Warm, Rate, Now);
    noteWarmUpLeft(Instances[I].Server.Warm, absl::Seconds(60), Now);
  }
  std::vector<TimePoint> Sent;
  for (int Step = 0; Step < 1000; ++Step, Now += absl::Milliseconds(10)) {
    for (Instance &I : Instances)
      if (restrictionWait(I.Server, I.Sharing.get(), Now) ==
          absl::ZeroDuration()) {
        spendRestrictions(I.Server, I.Sharing.get(), Now);
        Sent.push_back(Now);
      }
    const auto InSecond =
        std::count_if(Sent.begin(), Sent.end(), [&](TimePoint At) {
          return At > Now - absl::Seconds(1);
        });
    ASSERT_LE(static_cast<double>(InSecond), tolerated(Rate));
  }
  EXPECT_GE(static_cast<double>(Sent.size()), Rate * 10 * 0.9);
}

// The other zones' servers carry what a cold one does not take.
TEST_F(WarmUpTest, LoadAboveTheCapGoesToWarmServers) {
  RelayRequestHarness H(1);
  setRate(H);
  H.startRequest();
  const std::vector<ServerRef> Servers = serversOf(H);
  ASSERT_EQ(Servers.size(), 3U);
  for (const ServerRef &S : Servers)
    H.State->noteWarmUp(
        S, S->Info.Id == "s0-0" ? absl::Seconds(10) : absl::ZeroDuration(),
        H.Now);
  H.SentServers.clear();
  for (int I = 0; I < 40; ++I) {
    H.startRequest();
    H.endAttempt(0, AttemptResult::Answered);
    H.Now += absl::Milliseconds(5);
  }
  EXPECT_EQ(H.SentServers.size(), 40U);
  EXPECT_LE(std::count(H.SentServers.begin(), H.SentServers.end(), "s0-0"),
            static_cast<long>(tolerated(Rate)));
}

TEST_F(WarmUpTest, ServersOfAZoneThatReturnsCountAsCold) {
  RelayRequestHarness H(1);
  setRate(H);
  H.startRequest();
  for (const ServerRef &S : serversOf(H))
    H.State->noteWarmUp(S, absl::ZeroDuration(), H.Now);
  EXPECT_TRUE(H.State->serversThatMayBeCold().empty());
  H.State->setEvacuatedZones({"b"}, H.Now);
  EXPECT_TRUE(H.State->serversThatMayBeCold().empty());
  H.State->setEvacuatedZones({}, H.Now);
  const std::vector<ServerRef> Unknown = H.State->serversThatMayBeCold();
  ASSERT_EQ(Unknown.size(), 1U);
  EXPECT_EQ(Unknown[0]->Info.Zone, "b");
  EXPECT_TRUE(isCold(Unknown[0]->Warm, H.Now));
}

TEST_F(WarmUpTest, WithoutACapNothingIsAskedOrHeldBack) {
  RelayRequestHarness H(1);
  H.startRequest();
  H.State->setEvacuatedZones({"b"}, H.Now);
  H.State->setEvacuatedZones({}, H.Now);
  EXPECT_TRUE(H.State->serversThatMayBeCold().empty());
  for (const ServerRef &S : serversOf(H))
    EXPECT_FALSE(isRestricted(*S, H.Now));
}
