#include "core/relay/AccountLimits.h"
#include "core/relay/SharingInstances.h"
#include <algorithm>
#include <deque>
#include <gtest/gtest.h>
#include <memory>
#include <optional>
#include <random>
#include <rapidcheck/gtest.h>

using namespace quetzallead;

namespace {

constexpr Duration Step = absl::Milliseconds(10);
constexpr Duration Window = absl::Seconds(5);
constexpr Duration ExchangeInterval = absl::Milliseconds(100);
constexpr char Name[] = "x";

/// Homes that admit requests of one account, with the messages between them.
class Homes {
public:
  Homes(std::size_t Count, double Rate, double Burst, unsigned Seed)
      : Engine(Seed) {
    setLimit(Rate, Burst);
    for (std::size_t I = 0; I < Count; ++I) {
      Members.emplace_back();
      start(I);
    }
    updateDirectory();
  }

  void setLimit(double Rate, double Burst) {
    Account.Name = Name;
    Account.RatePerSecond = Rate;
    Account.Burst = Burst;
    for (Member &M : Members)
      M.Limits->updateSheet({Account}, Now);
  }

  void start(std::size_t Index) {
    Member &M = Members[Index];
    M.Sharing =
        std::make_shared<SharingInstances>("home-" + std::to_string(Index), 32);
    M.Limits = std::make_unique<AccountLimits>(M.Sharing);
    ++M.Incarnation;
    readDirectory(M);
    M.Limits->updateSheet({Account}, Now);
  }

  /// All homes learn which of them there are.
  void updateDirectory() {
    for (Member &M : Members)
      readDirectory(M);
  }

  /// Offers a request to the home \p Index; returns whether it is admitted.
  bool offer(std::size_t Index) {
    Member &M = Members[Index];
    const bool Admitted = M.Limits->admit(Name, Now).Admitted;
    if (Admitted)
      AdmittedAt.push_back(Now);
    if (M.Limits->lacksTokens() && Now - M.AskedAt >= ExchangeInterval)
      ask(Index);
    return Admitted;
  }

  void advance() {
    Now += Step;
    while (!Messages.empty() && Messages.front().Due <= Now) {
      Message Received = std::move(Messages.front());
      Messages.pop_front();
      Received.Deliver();
    }
  }

  /// Requests that were admitted in the window that ends now.
  std::size_t admittedInWindow() {
    while (!AdmittedAt.empty() && AdmittedAt.front() <= Now - Window)
      AdmittedAt.pop_front();
    return AdmittedAt.size();
  }

  double random() { return std::uniform_real_distribution<>()(Engine); }
  std::size_t count() const { return Members.size(); }

  TimePoint Now = absl::UnixEpoch() + absl::Hours(1);
  /// Share of the messages that are lost, and that arrive twice.
  double Lost = 0;
  double Doubled = 0;
  ClientAccount Account;

private:
  struct Member {
    std::shared_ptr<SharingInstances> Sharing;
    std::unique_ptr<AccountLimits> Limits;
    TimePoint AskedAt = absl::InfinitePast();
    int Incarnation = 0;
  };
  struct Message {
    TimePoint Due;
    std::function<void()> Deliver;
  };

  void readDirectory(Member &M) {
    std::vector<std::string> Names;
    for (std::size_t I = 0; I < Members.size(); ++I)
      Names.push_back("home-" + std::to_string(I));
    M.Sharing->update(Names, static_cast<int>(Names.size()), Now);
  }

  void ask(std::size_t Index) {
    Member &M = Members[Index];
    M.AskedAt = Now;
    AccountTokens Wanted = M.Limits->wants(Now);
    for (auto &[Asked, Amount] : Wanted)
      Amount /= static_cast<double>(Members.size() - 1);
    for (std::size_t I = 0; I < Members.size(); ++I)
      if (I != Index)
        send([this, I, Index, Wanted, Born = M.Incarnation] {
          const AccountTokens Given = Members[I].Limits->give(Wanted, Now);
          // A response is taken once, by the connection that waits for it.
          auto Taken = std::make_shared<bool>(false);
          send([this, Index, Given, Born, Taken] {
            if (Members[Index].Incarnation == Born && !*Taken)
              Members[Index].Limits->credit(Given, Now);
            *Taken = true;
          });
        });
  }

  void send(const std::function<void()> &Deliver) {
    const int Copies = random() < Lost ? 0 : random() < Doubled ? 2 : 1;
    for (int I = 0; I < Copies; ++I) {
      Message New{Now + absl::Milliseconds(1) +
                      absl::Milliseconds(30) * random(),
                  Deliver};
      auto At = std::upper_bound(
          Messages.begin(), Messages.end(), New,
          [](const Message &A, const Message &B) { return A.Due < B.Due; });
      Messages.insert(At, std::move(New));
    }
  }

  std::vector<Member> Members;
  std::deque<Message> Messages;
  std::deque<TimePoint> AdmittedAt;
  std::mt19937 Engine;
};

double allowed(double Rate, double Burst) {
  return (Rate * 5 + Burst) * 1.1 + 20;
}

/// The share of the limit that is served in ten seconds under a demand of 1.2
/// times the limit at the homes for which \p Serves holds.
template <typename Fn>
double servedShare(std::size_t Count, double Rate, double Burst, Fn Serves) {
  Homes Tier(Count, Rate, Burst, 7);
  std::vector<std::size_t> Serving;
  for (std::size_t I = 0; I < Count; ++I)
    if (Serves(I))
      Serving.push_back(I);
  std::size_t Served = 0;
  double Due = 0;
  for (int I = 0; I < 1400; ++I) {
    Tier.advance();
    for (Due += Rate * 1.2 * absl::ToDoubleSeconds(Step); Due >= 1; Due -= 1) {
      const auto At = static_cast<std::size_t>(
          Tier.random() * static_cast<double>(Serving.size()));
      const bool Admitted = Tier.offer(Serving[At]);
      // The buckets fill in the first four seconds.
      Served += Admitted && I >= 400 ? 1 : 0;
    }
    EXPECT_LE(static_cast<double>(Tier.admittedInWindow()),
              allowed(Rate, Burst));
  }
  return static_cast<double>(Served) / (Rate * 10);
}

} // namespace

// Callers of an account may be served by any number of homes.
TEST(AccountLimitsTest, LimitIsServedWhereverTheCallersAre) {
  for (const std::size_t Count : {std::size_t{6}, std::size_t{9}})
    for (const double Rate : {5.0, 41.0, 200.0}) {
      EXPECT_GE(
          servedShare(Count, Rate, Rate, [](std::size_t I) { return I == 0; }),
          0.9)
          << Count << " homes, one serves, rate " << Rate;
      EXPECT_GE(
          servedShare(Count, Rate, Rate, [](std::size_t I) { return I < 3; }),
          0.9)
          << Count << " homes, three serve, rate " << Rate;
      EXPECT_GE(
          servedShare(Count, Rate, Rate, [](std::size_t) { return true; }), 0.9)
          << Count << " homes, all serve, rate " << Rate;
    }
}

// One account of several that sends 7.5 times its usual, which is 1 / 1.6 of
// its limit.
TEST(AccountLimitsTest, OverloadedAccountKeepsToItsLimit) {
  constexpr double Rate = 53;
  Homes Tier(6, Rate, Rate, 3);
  double Due = 0;
  for (int I = 0; I < 1500; ++I) {
    Tier.advance();
    const double Demand = Rate / 1.6 * (I > 500 && I < 1150 ? 7.5 : 1);
    for (Due += Demand * absl::ToDoubleSeconds(Step); Due >= 1; Due -= 1)
      Tier.offer(static_cast<std::size_t>(Tier.random() * 6));
    ASSERT_LE(static_cast<double>(Tier.admittedInWindow()),
              allowed(Rate, Rate));
  }
}

TEST(AccountLimitsTest, UsualDemandIsNotRefused) {
  Homes Tier(6, 2, 2, 5);
  int Refused = 0;
  for (int I = 0; I < 2000; ++I) {
    Tier.advance();
    if (I % 80 == 0 && I >= 400)
      Refused +=
          Tier.offer(static_cast<std::size_t>(Tier.random() * 6)) ? 0 : 1;
  }
  EXPECT_EQ(Refused, 0);
}

TEST(AccountLimitsTest, RefusedCallersGetPlacesOneAfterAnother) {
  AccountLimits Limits(nullptr);
  ClientAccount A;
  A.Name = Name;
  A.RatePerSecond = 10;
  const TimePoint Now = absl::UnixEpoch();
  Limits.updateSheet({A}, Now);
  while (Limits.admit(Name, Now).Admitted)
    ;
  const Duration First = Limits.admit(Name, Now).RetryAfter;
  const Duration Second = Limits.admit(Name, Now).RetryAfter;
  EXPECT_EQ(Second - First, absl::Milliseconds(100));
  EXPECT_TRUE(Limits.admit(Name, Now + First).Admitted);
  EXPECT_TRUE(Limits.admit("another", Now).Admitted);
}

TEST(AccountLimitsTest, RequestThatWasNotRunDoesNotCount) {
  AccountLimits Limits(nullptr);
  ClientAccount A;
  A.Name = Name;
  A.RatePerSecond = 1;
  const TimePoint Now = absl::UnixEpoch();
  Limits.updateSheet({A}, Now);
  const double Before = Limits.tokens(Name, Now);
  EXPECT_TRUE(Limits.admit(Name, Now).Admitted);
  Limits.refund(Name, Now);
  EXPECT_DOUBLE_EQ(Limits.tokens(Name, Now), Before);
}

TEST(AccountLimitsTest, LoweredLimitTakesTheTokensAbove) {
  AccountLimits Limits(nullptr);
  ClientAccount A;
  A.Name = Name;
  A.RatePerSecond = 100;
  A.Burst = 100;
  TimePoint Now = absl::UnixEpoch();
  Limits.updateSheet({A}, Now);
  Now += absl::Seconds(10);
  EXPECT_GT(Limits.tokens(Name, Now), 100);
  A.RatePerSecond = 1;
  A.Burst = 1;
  Limits.updateSheet({A}, Now);
  EXPECT_LT(Limits.tokens(Name, Now), 20);
}

// What other instances send must not add tokens that nobody has taken out.
TEST(AccountLimitsTest, OddAmountsOfOthersAreIgnored) {
  AccountLimits Limits(nullptr);
  ClientAccount A;
  A.Name = Name;
  A.RatePerSecond = 10;
  const TimePoint Now = absl::UnixEpoch();
  Limits.updateSheet({A}, Now);
  const double Before = Limits.tokens(Name, Now);
  for (double Amount : {-1.0, 0.0, std::numeric_limits<double>::quiet_NaN(),
                        std::numeric_limits<double>::infinity()}) {
    Limits.credit({{Name, Amount}, {"unknown", 5}}, Now);
    EXPECT_TRUE(Limits.give({{Name, Amount}, {"unknown", 5}}, Now).empty());
  }
  EXPECT_DOUBLE_EQ(Limits.tokens(Name, Now), Before);
}

// Homes that join, restart and lose or double messages, under any demand: no
// window may hold more than the users tolerate.
RC_GTEST_PROP(AccountLimitsTest, SumStaysWithinTheLimitInEveryWindow, ()) {
  // At the nominal size seeds come from the whole range.
  const auto Seed =
      *rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<unsigned>());
  std::mt19937 Engine(Seed);
  auto Random = [&](double Least, double Most) {
    return std::uniform_real_distribution<>(Least, Most)(Engine);
  };
  const double Rate = Random(0.5, 120);
  const double Burst = Random(0, 2) * Rate;
  Homes Tier(static_cast<std::size_t>(Random(2, 10)), Rate, Burst, Seed);
  Tier.Lost = Random(0, 0.5);
  Tier.Doubled = Random(0, 0.3);
  std::vector<double> Demand(Tier.count(), 0);
  std::vector<double> Due(Tier.count(), 0);
  for (int I = 0; I < 1500; ++I) {
    Tier.advance();
    if (I % 100 == 0)
      for (double &D : Demand)
        D = Random(0, 1) < 0.5 ? 0 : Rate * Random(0, 4);
    if (Random(0, 1) < 0.002)
      Tier.start(static_cast<std::size_t>(
          Random(0, static_cast<double>(Tier.count()) - 0.01)));
    if (Random(0, 1) < 0.0005)
      for (std::size_t Home = 0; Home < Tier.count(); ++Home)
        Tier.start(Home);
    for (std::size_t Home = 0; Home < Tier.count(); ++Home)
      for (Due[Home] += Demand[Home] * absl::ToDoubleSeconds(Step);
           Due[Home] >= 1; Due[Home] -= 1)
        Tier.offer(Home);
    RC_ASSERT(static_cast<double>(Tier.admittedInWindow()) <=
              allowed(Rate, Burst));
  }
}
