#include "runtime/TimerService.h"

#include <atomic>
#include <future>
#include <gtest/gtest.h>
#include <mutex>
#include <random>
#include <thread>
#include <vector>

namespace quetzallead {
namespace {

constexpr std::chrono::seconds Generous(30);

TEST(TimerServiceTest, FiresInOrderOfTimeAndNotEarly) {
  const auto Timers = TimerService::make();
  const TimePoint Start = Timers->now();
  std::vector<int> Order;
  std::promise<void> Done;
  const auto Second =
      Timers->at(Start + absl::Milliseconds(20), [&](TimePoint Now) {
        Order.push_back(2);
        EXPECT_GE(Now, Start + absl::Milliseconds(20));
        Done.set_value();
      });
  const auto First = Timers->at(Start + absl::Milliseconds(10),
                                [&](TimePoint) { Order.push_back(1); });
  ASSERT_EQ(Done.get_future().wait_for(Generous), std::future_status::ready);
  EXPECT_EQ(Order, (std::vector<int>{1, 2}));
}

TEST(TimerServiceTest, PastTimeFiresAtOnce) {
  const auto Timers = TimerService::make();
  std::promise<void> Done;
  const auto Sub =
      Timers->at(absl::InfinitePast(), [&](TimePoint) { Done.set_value(); });
  EXPECT_EQ(Done.get_future().wait_for(Generous), std::future_status::ready);
}

TEST(TimerServiceTest, RepeatsUntilDestroyedInItsOwnCallback) {
  const auto Timers = TimerService::make();
  std::shared_ptr<TimerService::Subscription> Sub;
  std::mutex Mutex;
  int Count = 0;
  std::promise<void> Done;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Sub = Timers->every(absl::Milliseconds(1), [&](TimePoint) {
      const std::lock_guard<std::mutex> InnerLock(Mutex);
      if (++Count < 3)
        return;
      Sub.reset();
      Done.set_value();
    });
  }
  ASSERT_EQ(Done.get_future().wait_for(Generous), std::future_status::ready);
  EXPECT_EQ(Count, 3);
}

TEST(TimerServiceTest, DestructionWaitsForTheRunningCallback) {
  const auto Timers = TimerService::make();
  std::promise<void> Entered;
  std::atomic<bool> Ended{false};
  auto Sub = Timers->at(absl::InfinitePast(), [&](TimePoint) {
    Entered.set_value();
    std::this_thread::yield();
    Ended = true;
  });
  Entered.get_future().wait();
  Sub.reset();
  EXPECT_TRUE(Ended);
}

TEST(TimerServiceTest, NoCallbackAfterDestructionUnderContention) {
  const auto Timers = TimerService::make();
  std::atomic<int> AfterEnd{0};
  std::vector<std::thread> Threads;
  for (unsigned Seed = 0; Seed < 4; ++Seed)
    Threads.emplace_back([&, Seed] {
      std::minstd_rand Engine(Seed + 1);
      for (int I = 0; I < 1000; ++I) {
        auto Alive = std::make_shared<std::atomic<bool>>(true);
        auto Sub =
            Timers->at(Timers->now() + absl::Microseconds(Engine() % 200),
                       [Alive, &AfterEnd](TimePoint) {
                         AfterEnd += Alive->load() ? 0 : 1;
                       });
        if (Engine() % 2 == 0)
          std::this_thread::yield();
        Sub.reset();
        *Alive = false;
      }
    });
  for (std::thread &T : Threads)
    T.join();
  EXPECT_EQ(AfterEnd, 0);
}

TEST(TimerServiceTest, CancelledTimersAreReleased) {
  const auto Timers = TimerService::make();
  const auto Held = std::make_shared<int>(0);
  std::vector<std::shared_ptr<TimerService::Subscription>> Subs;
  Subs.reserve(2000);
  for (int I = 0; I < 2000; ++I)
    Subs.push_back(
        Timers->at(Timers->now() + absl::Hours(1), [Held](TimePoint) {}));
  EXPECT_EQ(Held.use_count(), 2001);
  Subs.clear();
  EXPECT_EQ(Held.use_count(), 1);
}

TEST(TimerServiceTest, SubscriptionMayOutliveTheService) {
  auto Timers = TimerService::make();
  const auto Held = std::make_shared<int>(0);
  auto Sub = Timers->at(absl::InfiniteFuture(), [Held](TimePoint) {});
  Timers.reset();
  EXPECT_EQ(Held.use_count(), 1);
  Sub.reset();
}

TEST(TimerServiceTest, ClockNeverStepsBack) {
  const auto Timers = TimerService::make();
  TimePoint Last = Timers->now();
  for (int I = 0; I < 1000; ++I) {
    const TimePoint Now = Timers->now();
    EXPECT_GE(Now, Last);
    Last = Now;
  }
}

} // namespace
} // namespace quetzallead
