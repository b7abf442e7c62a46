#include "core/relay/SharingInstances.h"
#include <algorithm>
#include <deque>
#include <gtest/gtest.h>
#include <memory>
#include <optional>
#include <rapidcheck/gtest.h>

using namespace quetzallead;

namespace {

const TimePoint Start = absl::UnixEpoch() + absl::Hours(1);
constexpr char ServerId[] = "server";
/// Longest time between two reads of the directory by one instance.
constexpr Duration ReadInterval = absl::Milliseconds(12500);
/// Longest time between two polls of one instance by another.
constexpr Duration PollInterval = absl::Seconds(1);
/// Time from its start for which an instance need not keep to a limit.
constexpr Duration StartTime = absl::Seconds(4);
constexpr Duration Window = absl::Seconds(4);
constexpr Duration Step = absl::Milliseconds(20);

std::string nameOfInstance(std::size_t I) {
  return "instance-" + std::to_string(I);
}

/// Instances that send as many requests to one limited server as their shares
/// allow.
struct Tier {
  struct Instance {
    std::unique_ptr<SharingInstances> Sharing;
    ServerLimit Limit;
    bool Registered = true;
    TimePoint StartedAt = absl::InfinitePast();
    TimePoint NextRead;
    TimePoint NextPoll;
    /// When it notices that its registration is gone.
    TimePoint RegistersAt = absl::InfiniteFuture();
  };

  Tier(std::size_t Count, double GivenLimit) : PerSecond(GivenLimit) {
    for (std::size_t I = 0; I < Count; ++I)
      Instances.push_back(startedInstance(I));
    for (Instance &I : Instances) {
      readDirectory(I);
      nameLimit(I.Limit, PerSecond, share(I), Now);
    }
  }

  Instance startedInstance(std::size_t Index) {
    Instance I;
    I.Sharing = std::make_unique<SharingInstances>(nameOfInstance(Index), 32);
    I.NextRead = Now + Step;
    I.NextPoll = Now + PollInterval;
    return I;
  }

  LimitShare share(const Instance &I) const {
    return I.Sharing->shareOf(ServerId, PerSecond, Now);
  }

  void readDirectory(Instance &I) {
    std::vector<std::string> Names;
    for (std::size_t Other = 0; Other < Instances.size(); ++Other)
      if (Instances[Other].Registered)
        Names.push_back(nameOfInstance(Other));
    I.Sharing->update(Names, static_cast<int>(Names.size()), Now);
    I.NextRead = Now + ReadInterval;
  }

  void step() {
    Now += Step;
    for (Instance &I : Instances) {
      if (Now >= I.RegistersAt) {
        I.RegistersAt = absl::InfiniteFuture();
        I.Registered = true;
        I.NextRead = Now;
      }
      if (Now >= I.NextRead)
        readDirectory(I);
      if (Now >= I.NextPoll) {
        I.NextPoll = Now + PollInterval;
        const Instance &Polled = Instances[Polls++ % Instances.size()];
        if (&Polled != &I)
          I.Sharing->onCountHeard(Polled.Sharing->count(Now), Now);
      }
      while (limitWait(I.Limit, share(I), Now) <= absl::ZeroDuration()) {
        spendLimit(I.Limit, share(I), Now);
        if (Now - I.StartedAt >= StartTime)
          Sent.push_back(Now);
        ++Total;
      }
    }
    while (!Sent.empty() && Now - Sent.front() > Window)
      Sent.pop_front();
    MostInWindow = std::max(MostInWindow, Sent.size());
  }

  void run(Duration Time) {
    for (const TimePoint End = Now + Time; Now < End;)
      step();
  }

  double allowedInWindow() const {
    return 1.5 * absl::ToDoubleSeconds(Window) * PerSecond + 5;
  }

  const double PerSecond;
  TimePoint Now = Start;
  std::vector<Instance> Instances;
  std::size_t Polls = 0;
  std::deque<TimePoint> Sent;
  std::size_t MostInWindow = 0;
  std::size_t Total = 0;
};

double drawLimit() {
  return *rc::gen::element(0.5, 1.0, 2.5, 7.0, 33.0, 400.0);
}

} // namespace

RC_GTEST_PROP(SharingInstancesTest, SumOfSharesStaysWithinTheLimit, ()) {
  Tier T(*rc::gen::inRange<std::size_t>(1, 13), drawLimit());
  T.run(absl::Seconds(30));
  RC_ASSERT(static_cast<double>(T.MostInWindow) <= T.allowedInWindow());
  // What the shares allow is used.
  RC_ASSERT(static_cast<double>(T.Total) >= 0.8 * 30 * T.PerSecond - 2);
}

// After an outage in which leases ended, each instance registers again at its
// own time, and the directory lists too few of them. Some restart meanwhile.
RC_GTEST_PROP(SharingInstancesTest, LostRegistrationsDoNotRaiseTheSum, ()) {
  Tier T(*rc::gen::inRange<std::size_t>(2, 13), drawLimit());
  T.run(absl::Seconds(5));
  for (Tier::Instance &I : T.Instances) {
    I.Registered = false;
    I.RegistersAt = T.Now + absl::Milliseconds(*rc::gen::inRange(0, 12500));
  }
  const std::size_t Restarted =
      *rc::gen::inRange<std::size_t>(0, T.Instances.size());
  T.run(absl::Milliseconds(*rc::gen::inRange(0, 10000)));
  T.Instances[Restarted] = T.startedInstance(Restarted);
  T.Instances[Restarted].StartedAt = T.Now;
  nameLimit(T.Instances[Restarted].Limit, T.PerSecond,
            T.share(T.Instances[Restarted]), T.Now);
  T.run(absl::Seconds(40));
  RC_ASSERT(static_cast<double>(T.MostInWindow) <= T.allowedInWindow());
}

// An instance of the zone joins; the others learn of it when they read the
// directory.
RC_GTEST_PROP(SharingInstancesTest, NewInstancesDoNotRaiseTheSum, ()) {
  Tier T(*rc::gen::inRange<std::size_t>(2, 12), drawLimit());
  T.run(absl::Seconds(5));
  const std::size_t Added = T.Instances.size();
  T.Instances.push_back(T.startedInstance(Added));
  Tier::Instance &New = T.Instances.back();
  nameLimit(New.Limit, T.PerSecond, T.share(New), T.Now);
  T.run(absl::Seconds(30));
  RC_ASSERT(static_cast<double>(T.MostInWindow) <= T.allowedInWindow());
}

TEST(SharingInstancesTest, InstancesThatLeaveGiveTheirSharesBack) {
  SharingInstances Sharing("a", 32);
  EXPECT_DOUBLE_EQ(Sharing.shareOf(ServerId, 100, Start).Fraction, 1.0 / 32);
  Sharing.update({"a", "b"}, 2, Start);
  EXPECT_DOUBLE_EQ(Sharing.shareOf(ServerId, 100, Start).Fraction, 0.5);
  Sharing.update({"a"}, 1, Start + absl::Seconds(1));
  EXPECT_DOUBLE_EQ(
      Sharing.shareOf(ServerId, 100, Start + absl::Seconds(30)).Fraction, 0.5);
  EXPECT_DOUBLE_EQ(
      Sharing.shareOf(ServerId, 100, Start + absl::Seconds(32)).Fraction, 1.0);
}

TEST(SharingInstancesTest, CountOfAnotherInstanceHoldsForAWhile) {
  SharingInstances Sharing("a", 32);
  Sharing.update({"a"}, 1, Start);
  Sharing.onCountHeard(4, Start);
  Sharing.onCountHeard(2, Start + absl::Seconds(1));
  EXPECT_DOUBLE_EQ(
      Sharing.shareOf(ServerId, 100, Start + absl::Seconds(2)).Fraction, 0.25);
  // What is heard is not passed on, so that no count outlives its source.
  EXPECT_EQ(Sharing.count(Start + absl::Seconds(2)), 1);
  EXPECT_DOUBLE_EQ(
      Sharing.shareOf(ServerId, 100, Start + absl::Seconds(20)).Fraction, 1.0);
}

TEST(ServerLimitStateTest, OnlyALaterResponseWithoutALimitEndsIt) {
  ServerLimit Limit;
  EXPECT_TRUE(nameLimit(Limit, 5, LimitShare(), Start));
  EXPECT_FALSE(nameLimit(Limit, 5, LimitShare(), Start));
  EXPECT_FALSE(omitLimit(Limit, Start + absl::Milliseconds(900)));
  EXPECT_TRUE(isLimited(Limit));
  EXPECT_TRUE(omitLimit(Limit, Start + absl::Milliseconds(1100)));
  EXPECT_FALSE(isLimited(Limit));
}

TEST(ServerLimitStateTest, LimitsAreBounded) {
  ServerLimit Limit;
  nameLimit(Limit, 0, LimitShare(), Start);
  EXPECT_DOUBLE_EQ(Limit.PerSecond, MinServerLimit);
  EXPECT_LE(limitWait(Limit, LimitShare(), Start), absl::Seconds(3));
  nameLimit(Limit, 1e300, LimitShare(), Start);
  EXPECT_DOUBLE_EQ(Limit.PerSecond, MaxServerLimit);
  EXPECT_GT(maxLimitSharers(1e300), 0);
}
