#include "core/relay/WaitQueue.h"
#include "core/relay/BackendPool.h"
#include <gtest/gtest.h>

using namespace quetzallead;

namespace {

constexpr std::size_t QueueLimit = 64;

AttemptPermitRequest request(const std::string &Account, int Priority = 1,
                             int AccountPriority = 0) {
  AttemptPermitRequest R;
  R.Account = Account;
  R.Priority = Priority;
  R.AccountPriority = AccountPriority;
  return R;
}

std::string firstAccount(WaitQueue &Queue) {
  return Queue.serve(0).Request.Account;
}

} // namespace

TEST(WaitQueueTest, RankGoesFirst) {
  WaitQueue Queue(QueueOrder::OldestFirst);
  Queue.add(request("low", 2), nullptr);
  Queue.add(request("high", 0), nullptr);
  Queue.add(request("account", 2, -1), nullptr);
  EXPECT_EQ(Queue.countAhead(request("new", 0)), 2U);
  EXPECT_EQ(Queue.countAhead(request("new", 2)), 3U);
  EXPECT_EQ(firstAccount(Queue), "account");
  EXPECT_EQ(firstAccount(Queue), "high");
  EXPECT_EQ(firstAccount(Queue), "low");
}

TEST(WaitQueueTest, WithoutAccountsTheOldestGoesFirst) {
  WaitQueue Queue(QueueOrder::OldestFirst);
  std::vector<std::uint64_t> Ids;
  Ids.reserve(5);
  for (int I = 0; I < 5; ++I)
    Ids.push_back(Queue.add(request(""), nullptr));
  for (std::uint64_t Id : Ids)
    EXPECT_EQ(Queue.serve(0).Id, Id);
}

// An account that sent seven times its usual delayed all others of its rank.
TEST(WaitQueueTest, AccountThatSendsMostDoesNotDelayTheOthers) {
  WaitQueue Queue(QueueOrder::OldestFirst);
  for (int I = 0; I < 21; ++I)
    Queue.add(request("large"), nullptr);
  for (int I = 0; I < 3; ++I) {
    Queue.add(request("small"), nullptr);
    Queue.add(request("other"), nullptr);
  }
  int LargeFirst = 0;
  int Others = 0;
  while (Others < 6)
    firstAccount(Queue) == "large" ? ++LargeFirst : ++Others;
  EXPECT_LE(LargeFirst, 4);
}

TEST(WaitQueueTest, AccountsTakeTurnsWhileBothSend) {
  WaitQueue Queue(QueueOrder::OldestFirst);
  int Small = 0;
  for (int I = 0; I < 200; ++I) {
    for (int K = 0; K < 2; ++K)
      if (Queue.size() < QueueLimit - 2)
        Queue.add(request("large"), nullptr);
    if (I % 4 == 0)
      Queue.add(request("small"), nullptr);
    Small += firstAccount(Queue) == "small" ? 1 : 0;
  }
  EXPECT_GE(Small, 49);
}

TEST(WaitQueueTest, PartThatDecidesItsSurveyGoesBeforeEqualOnes) {
  WaitQueue Queue(QueueOrder::OldestFirst);
  Queue.add(request(""), nullptr);
  AttemptPermitRequest Last = request("");
  Last.Decisive = true;
  const std::uint64_t Id = Queue.add(Last, nullptr);
  EXPECT_EQ(Queue.serve(0).Id, Id);
}

// A burst of a kind that matters less filled the queue, and requests that
// matter more were rejected.
TEST(WaitQueueTest, FullQueueGivesUpWhatMattersLess) {
  WaitQueue Queue(QueueOrder::OldestFirst);
  while (!Queue.full())
    Queue.add(request("", 2), nullptr);
  EXPECT_EQ(Queue.size(), QueueLimit);
  EXPECT_FALSE(Queue.displaceFor(request("", 2)));
  EXPECT_FALSE(Queue.displaceFor(request("", 3)));
  const auto Displaced = Queue.displaceFor(request("", 1));
  ASSERT_TRUE(Displaced);
  EXPECT_EQ(Displaced->Request.Priority, 2);
  EXPECT_EQ(Queue.size(), QueueLimit - 1);
}

TEST(WaitQueueTest, FullQueueGivesUpWhatTheLargestAccountSent) {
  WaitQueue Queue(QueueOrder::OldestFirst);
  while (!Queue.full())
    Queue.add(request("large"), nullptr);
  const auto Displaced = Queue.displaceFor(request("small"));
  ASSERT_TRUE(Displaced);
  EXPECT_EQ(Displaced->Request.Account, "large");
  EXPECT_FALSE(Queue.displaceFor(request("large")));
}

TEST(WaitQueueTest, WhatCanNoLongerStartInTimeLeaves) {
  WaitQueue Queue(QueueOrder::OldestFirst);
  const TimePoint Now = absl::UnixEpoch();
  AttemptPermitRequest Late = request("");
  Late.LatestStart = Now;
  Queue.add(request(""), nullptr);
  const std::uint64_t Id = Queue.add(Late, nullptr);
  EXPECT_FALSE(Queue.takeExpired(Now));
  EXPECT_EQ(Queue.takeExpired(Now + absl::Milliseconds(1))->Id, Id);
  EXPECT_EQ(Queue.size(), 1U);
}

// The callers of what was displaced waited until their deadline.
TEST(WaitQueueTest, DisplacedRequestIsToldAtOnce) {
  const TimePoint Now = absl::UnixEpoch() + absl::Hours(1);
  BackendPool Pool("a", 1);
  DiscoveredServer Info;
  Info.Id = "s";
  Info.Zone = "a";
  Pool.upsert(Info, Now);
  Pool.setConnectionShare(1, Now);
  RouteStats Stats;
  AttemptPermitRequest Low = request("", 2);
  Low.Stats = &Stats;
  int Told = 0;
  auto Count = [&](const ServerRef &Server, TimePoint) {
    EXPECT_EQ(Server, nullptr);
    ++Told;
  };
  EXPECT_EQ(Pool.acquire(Low, true, Count, Now).Outcome,
            AttemptPermitOutcome::Granted);
  for (std::size_t I = 0; I < QueueLimit; ++I)
    EXPECT_EQ(Pool.acquire(Low, true, Count, Now).Outcome,
              AttemptPermitOutcome::Queued);
  EXPECT_EQ(Pool.acquire(Low, true, Count, Now).Outcome,
            AttemptPermitOutcome::None);
  AttemptPermitRequest High = Low;
  High.Priority = 0;
  EXPECT_EQ(Pool.acquire(High, true, nullptr, Now).Outcome,
            AttemptPermitOutcome::Queued);
  EXPECT_EQ(Told, 1);
  EXPECT_EQ(Pool.queueLength(), QueueLimit);
  // A request that outranks all others need not wait for them.
  EXPECT_LT(Pool.expectedDelay(High, Now), Pool.expectedDelay(Low, Now));
}
