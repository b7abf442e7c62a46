#include "core/relay/ServerContact.h"
#include <gtest/gtest.h>

using namespace quetzallead;

namespace {

constexpr int Listed = 30;

class ServerContactTest : public testing::Test {
protected:
  ServerContactTest() { Contact.onHeard(Now); }

  void advance(Duration Time, int Silent, int Unreachable = 0) {
    Now += Time;
    ServerContactSample Sample;
    Sample.Listed = Listed;
    Sample.Silent = Silent;
    Sample.Unreachable = Unreachable;
    Contact.advance(Sample, Now);
  }
  void lose() {
    advance(absl::Milliseconds(60), Listed);
    advance(absl::Milliseconds(130), Listed);
    ASSERT_EQ(Contact.state(), ContactState::Lost);
  }
  /// Time from the first sign of a server to the return.
  Duration returnTime() {
    Contact.onHeard(Now);
    const TimePoint Start = Now;
    while (Contact.state() == ContactState::Returning &&
           Now - Start < absl::Seconds(10))
      advance(absl::Milliseconds(10), 0, 0);
    EXPECT_EQ(Contact.state(), ContactState::InContact);
    return Now - Start;
  }

  ServerContact Contact;
  TimePoint Now = absl::UnixEpoch() + absl::Hours(1);
};

} // namespace

TEST_F(ServerContactTest, SilenceOfAllServersIsProbedBeforeItIsALoss) {
  advance(absl::Milliseconds(60), 3);
  EXPECT_EQ(Contact.state(), ContactState::Suspected);
  EXPECT_LE(Contact.nextCheck(Now) - Now, absl::Milliseconds(200));
  advance(Contact.nextCheck(Now) - Now, 3);
  EXPECT_EQ(Contact.state(), ContactState::Lost);
  EXPECT_EQ(Contact.nextCheck(Now), absl::InfiniteFuture());
}

TEST_F(ServerContactTest, RefusedProbesNeedNoWait) {
  advance(absl::Milliseconds(60), 3);
  Contact.onProbesFailed(Now);
  EXPECT_EQ(Contact.state(), ContactState::Lost);
}

TEST_F(ServerContactTest, AnySignOfAServerEndsASuspicion) {
  advance(absl::Milliseconds(60), Listed);
  Contact.onHeard(Now);
  EXPECT_EQ(Contact.state(), ContactState::InContact);
  Contact.onProbesFailed(Now);
  EXPECT_EQ(Contact.state(), ContactState::InContact);
}

TEST_F(ServerContactTest, ServersThatAreDownAreNoLossWhileOthersAnswer) {
  for (int I = 0; I < 100; ++I) {
    advance(absl::Milliseconds(30), Listed - 1, Listed - 1);
    Contact.onHeard(Now);
    EXPECT_EQ(Contact.state(), ContactState::InContact);
  }
}

TEST_F(ServerContactTest, FirstRequestOfAQuietInstanceIsNoSuspicion) {
  Now += absl::Seconds(10);
  Contact.onSent(Now);
  advance(absl::Milliseconds(30), Listed);
  EXPECT_EQ(Contact.state(), ContactState::InContact);
  advance(absl::Milliseconds(30), Listed);
  EXPECT_EQ(Contact.state(), ContactState::Suspected);
}

TEST_F(ServerContactTest, FewSilentServersAreNoLoss) {
  advance(absl::Seconds(10), 2);
  EXPECT_EQ(Contact.state(), ContactState::InContact);
}

TEST_F(ServerContactTest, OneServerIsAllThereIs) {
  ServerContactSample Sample;
  Sample.Listed = 1;
  Sample.Silent = 1;
  Now += absl::Milliseconds(60);
  Contact.advance(Sample, Now);
  EXPECT_EQ(Contact.state(), ContactState::Suspected);
}

TEST_F(ServerContactTest, ReturnsOnceMostServersHaveBeenReachedForAWhile) {
  lose();
  Contact.onHeard(Now);
  EXPECT_EQ(Contact.state(), ContactState::Returning);
  advance(absl::Milliseconds(100), 0, 0);
  EXPECT_EQ(Contact.state(), ContactState::Returning);
  advance(absl::Milliseconds(400), 0, Listed - 5);
  EXPECT_EQ(Contact.state(), ContactState::Returning);
  advance(absl::Milliseconds(100), 0, Listed / 2);
  EXPECT_EQ(Contact.state(), ContactState::InContact);
}

TEST_F(ServerContactTest, SilenceDuringAReturnIsALossAtOnce) {
  lose();
  Contact.onHeard(Now);
  advance(absl::Milliseconds(100), 0, 0);
  Contact.onHeard(Now);
  advance(absl::Milliseconds(60), 5, 5);
  EXPECT_EQ(Contact.state(), ContactState::Lost);
}

// Homes that had just returned rejected requests of others for servers that
// they did not reach yet.
TEST_F(ServerContactTest, OthersAreServedOnceMostServersAreReachable) {
  EXPECT_TRUE(Contact.servesOthers());
  lose();
  EXPECT_FALSE(Contact.servesOthers());
  Contact.onHeard(Now);
  EXPECT_FALSE(Contact.servesOthers());
  advance(absl::Milliseconds(30), 0, Listed - 3);
  EXPECT_FALSE(Contact.servesOthers());
  advance(absl::Milliseconds(30), 0, Listed / 2);
  EXPECT_EQ(Contact.state(), ContactState::Returning);
  EXPECT_TRUE(Contact.servesOthers());
}

TEST_F(ServerContactTest, ASingleServerThatAnswersIsNoReturn) {
  lose();
  Contact.onHeard(Now);
  advance(absl::Seconds(7), 0, Listed - 1);
  EXPECT_EQ(Contact.state(), ContactState::Lost);
}

// A link that comes and goes must not be relied on each time it comes.
TEST_F(ServerContactTest, EachLossDelaysTheNextReturn) {
  Duration Last = absl::ZeroDuration();
  for (int I = 0; I < 4; ++I) {
    lose();
    const Duration Time = returnTime();
    EXPECT_GT(Time, Last);
    Last = Time;
  }
  EXPECT_LE(Last, absl::Seconds(5));
  // A long time in contact ends that.
  for (int I = 0; I < 40; ++I) {
    advance(absl::Seconds(1), 0, 0);
    Contact.onHeard(Now);
  }
  lose();
  EXPECT_LT(returnTime(), absl::Milliseconds(500));
}
