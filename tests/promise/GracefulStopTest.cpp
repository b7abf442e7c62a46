#include "support/CallerAnswer.h"
#include "support/ChildProcess.h"
#include "support/FakeProcess.h"
#include "support/Fetch.h"
#include "support/RunThreads.h"
#include "support/TestDaemon.h"
#include "support/TestFleet.h"
#include "support/WaitUntil.h"
#include <atomic>
#include <gtest/gtest.h>
#include <thread>

using namespace quetzallead;
using nlohmann::json;

namespace {

constexpr int CallersPerDaemon = 6;

/// Three daemons in three zones with slow requests in flight.
class GracefulStop : public testing::Test {
protected:
  GracefulStop() : Fleet(options()) {}

  static TestFleetOptions options() {
    TestFleetOptions Options;
    Options.Shape.Shards = 2;
    Options.Shape.Slots = 16;
    Options.Shape.TimeoutMs = 10000;
    Options.Shape.CoverageWaitMs = 10000;
    return Options;
  }

  void SetUp() override { ASSERT_TRUE(Fleet.start()) << Fleet.problem(); }

  /// Sends slow requests of every kind to \p Index and, once they are all in
  /// flight, calls \p Then; the number answered whole.
  int askSlowly(const std::vector<std::size_t> &Daemons,
                const std::function<void()> &Then) {
    EXPECT_TRUE(Fleet.backend().setFaults("*", {{"service_time_ms", 800}}));
    std::atomic<int> Whole{0};
    const int Count = CallersPerDaemon * static_cast<int>(Daemons.size());
    std::vector<std::string> Tickets;
    Tickets.reserve(static_cast<std::size_t>(Count));
    for (int I = 0; I < Count; ++I)
      Tickets.push_back(Fleet.ticket(Daemons[I / CallersPerDaemon]));
    std::thread Stopper([&] {
      EXPECT_TRUE(waitUntil([&] {
        int InFlight = 0;
        for (const std::size_t Index : Daemons) {
          const auto Status = Fleet.admin(Index, "GET", "/v1/status");
          if (Status)
            InFlight += bodyOf(*Status).value("in_flight", 0);
        }
        return InFlight >= Count;
      }));
      Then();
    });
    runThreads(Count, [&](int Caller) {
      const std::size_t Index = Daemons[Caller / CallersPerDaemon];
      if (askOne(Index, Caller, Tickets[Caller]))
        ++Whole;
    });
    Stopper.join();
    EXPECT_TRUE(Fleet.backend().setFaults("*", {{"service_time_ms", 1}}));
    return Whole;
  }

  bool askOne(std::size_t Index, int Caller, const std::string &Ticket) {
    HttpFields Headers;
    if (Caller % 3 == 0)
      return toCallerAnswer(Fleet.ask(Index, "survey", json::object()))
          .complete();
    if (Caller % 3 == 1)
      return toCallerAnswer(Fleet.ask(Index, "lookup", {{"key", "a1"}}))
          .complete();
    Headers.add("Idempotency-Key", Ticket);
    return toCallerAnswer(
               Fleet.ask(Index, "command",
                         {{"key", "a1"}, {"command", {{"n", Caller}}}},
                         Headers))
        .complete();
  }

  void stop(std::size_t Index) { Fleet.daemon(Index).Process->terminate(); }

  void expectCleanEnd(std::size_t Index) {
    EXPECT_EQ(Fleet.daemon(Index).Process->wait(GenerousLimit), 0)
        << Fleet.logs();
  }

  TestFleet Fleet;
};

} // namespace

TEST_F(GracefulStop, FinishesWhatIsInFlightAtOneInstance) {
  const int Whole = askSlowly({0}, [this] { stop(0); });
  EXPECT_EQ(Whole, CallersPerDaemon) << Fleet.logs();
  expectCleanEnd(0);
  EXPECT_TRUE(
      toCallerAnswer(Fleet.ask(1, "survey", json::object())).complete());
}

TEST_F(GracefulStop, FinishesWhatIsInFlightAtThreeInstances) {
  const int Whole = askSlowly({0, 1, 2}, [this] {
    for (std::size_t Index = 0; Index < 3; ++Index)
      stop(Index);
  });
  EXPECT_EQ(Whole, 3 * CallersPerDaemon) << Fleet.logs();
  for (std::size_t Index = 0; Index < 3; ++Index)
    expectCleanEnd(Index);
}

TEST_F(GracefulStop, LetsSessionsGoOnElsewhereOneByOne) {
  std::string Token = Fleet.openSession(0);
  ASSERT_FALSE(Token.empty());
  for (std::size_t Stopped = 0; Stopped < 3; ++Stopped) {
    const std::size_t Next = (Stopped + 1) % 3;
    const int Whole = askSlowly({Stopped}, [&] { stop(Stopped); });
    EXPECT_EQ(Whole, CallersPerDaemon) << Fleet.logs();
    expectCleanEnd(Stopped);
    HttpFields Headers;
    Headers.add("Quetzallead-Session", Token);
    const CallerAnswer Answer =
        toCallerAnswer(Fleet.ask(Next, "survey", json::object(), Headers));
    EXPECT_TRUE(Answer.complete()) << Answer.Body;
    Token = Answer.Session;
    EXPECT_FALSE(Token.empty());
    ASSERT_TRUE(Fleet.startDaemon(Stopped)) << Fleet.logs();
  }
}
