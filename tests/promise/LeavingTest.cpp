#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "support/CallerAnswer.h"
#include "support/FakeProcess.h"
#include "support/Fetch.h"
#include "support/JournalView.h"
#include "support/RunThreads.h"
#include "support/TestFleet.h"
#include "support/WaitUntil.h"
#include <atomic>
#include <gtest/gtest.h>
#include <thread>

using namespace quetzallead;
using nlohmann::json;

namespace {

/// Time after which a leaving server gets no new work, milliseconds.
constexpr double GraceMs = 3000;
/// Time for which that is then watched, milliseconds.
constexpr double WatchMs = 1500;

/// Between the calls of one caller, milliseconds: as long as a server takes.
constexpr double AskPauseMs = 2;

/// Attempts in a row that a server ends without an answer before an instance
/// takes it for gone.
constexpr int LossesBelieved = 3;

constexpr const char *Leaver = "s0-a";

/// Three daemons under steady load of lookups at one shard of three replicas.
class Leaving : public testing::Test {
protected:
  Leaving() : Fleet(options()) {}

  static TestFleetOptions options() {
    TestFleetOptions Options;
    Options.Shape.Shards = 1;
    Options.Shape.TimeoutMs = 1000;
    Options.Shape.CoverageWaitMs = 1000;
    Options.BackendArguments = {"--service-time-ms", "2"};
    return Options;
  }

  void SetUp() override { ASSERT_TRUE(Fleet.start()) << Fleet.problem(); }

  /// Lets callers ask every daemon of \p Daemons while \p Then runs.
  void askDuring(const std::vector<std::size_t> &Daemons,
                 const std::function<void()> &Then) {
    std::atomic<bool> Stop{false};
    std::thread Other([&] {
      Then();
      Stop = true;
    });
    runThreads(static_cast<int>(Daemons.size()), [&](int Caller) {
      while (!Stop) {
        waitMs(AskPauseMs);
        ++Asked;
        const auto Answer =
            Fleet.ask(Daemons[Caller], "lookup", {{"key", "a1"}});
        if (toCallerAnswer(Answer).complete())
          continue;
        ++Failed;
        ADD_FAILURE() << "daemon " << Daemons[Caller] << " answered "
                      << (Answer
                              ? absl::StrCat(Answer->Status, " ", Answer->Body)
                              : "nothing");
      }
    });
    Other.join();
  }

  /// The clock of the journals, milliseconds.
  static double nowMs() {
    return absl::ToDoubleMilliseconds(absl::Now() - absl::UnixEpoch());
  }

  static void waitMs(double Millis) {
    absl::SleepFor(absl::Milliseconds(Millis));
  }

  /// True once the leaver has had work.
  bool leaverWorks() {
    return waitUntil([this] {
      return receivedSince(Fleet.backend().journal(), Leaver, 0) > 0;
    });
  }

  /// Lets the server leave by \p Leave and checks that it gets no work from
  /// the grace's end on.
  void expectNoWorkAfter(const std::function<void()> &Leave) {
    // Several callers each, so that every instance needs all its servers.
    askDuring({0, 0, 0, 1, 1, 1, 2, 2, 2}, [&] {
      EXPECT_TRUE(leaverWorks());
      EXPECT_TRUE(
          Fleet.backend().post("/journal/clear", json::object()).is_object());
      Leave();
      const double Left = nowMs();
      waitMs(GraceMs + WatchMs);
      const json Journal = Fleet.backend().journal();
      EXPECT_EQ(receivedSince(Journal, Leaver, Left + GraceMs), 0)
          << describeReceivedSince(Journal, Leaver, Left + GraceMs);
      EXPECT_GT(receivedSince(Journal, "s0-b", Left + GraceMs), 0);
    });
    EXPECT_EQ(Failed, 0) << "of " << Asked;
  }

  /// Lets the server leave by \p Leave while only the first instance asks it,
  /// \p Signs times at least, and checks that the others give it no work.
  void expectToldToOthers(const std::function<void()> &Leave, int Signs) {
    // Several callers, so that the instance needs all its servers.
    askDuring({0, 0, 0, 0}, [&] {
      EXPECT_TRUE(leaverWorks());
      const double Left = nowMs();
      Leave();
      EXPECT_TRUE(waitUntil([&] {
        return receivedSince(Fleet.backend().journal(), Leaver, Left) >= Signs;
      })) << "the first instance met too few signs";
      waitMs(GraceMs);
    });
    EXPECT_TRUE(
        Fleet.backend().post("/journal/clear", json::object()).is_object());
    askDuring({1, 1, 1, 1, 2, 2, 2, 2}, [] { waitMs(WatchMs); });
    const json Journal = Fleet.backend().journal();
    EXPECT_EQ(receivedSince(Journal, Leaver, 0), 0)
        << describeReceivedSince(Journal, Leaver, 0);
    EXPECT_EQ(Failed, 0) << "of " << Asked;
  }

  void setFaults(const json &Faults) {
    EXPECT_TRUE(Fleet.backend().setFaults(Leaver, Faults));
  }

  void registerLeaver(const char *State) {
    FetchCall Call;
    Call.Method = "PUT";
    Call.Address = Fleet.platformAddress();
    Call.Target = "/v1/catalog/register";
    const json Service = {{"Service", "backend"},
                          {"Address", "127.0.0.1"},
                          {"Port", 1},
                          {"Meta", {{"zone", "a"}, {"state", State}}}};
    Call.Body =
        json{{"Node", Leaver}, {"Address", "127.0.0.1"}, {"Service", Service}}
            .dump();
    const auto Answer = fetch(Call);
    EXPECT_TRUE(Answer && Answer->Status == 200);
  }

  TestFleet Fleet;
  std::atomic<int> Asked{0};
  std::atomic<int> Failed{0};
};

} // namespace

TEST_F(Leaving, ShownByItsDrainReplyWhileHealthLies) {
  expectNoWorkAfter([this] {
    setFaults({{"draining", true}, {"reported_health", "ok"}});
  });
}

TEST_F(Leaving, ShownByItsDrainReplyWhileThePlatformIsDown) {
  expectNoWorkAfter([this] {
    EXPECT_TRUE(
        Fleet.platform().post("/faults", {{"outage", "hang"}}).is_object());
    setFaults({{"draining", true}});
  });
}

TEST_F(Leaving, ShownByTheSheet) {
  expectNoWorkAfter([this] {
    Fleet.sheet()["services"][0]["shards"][0]["servers"][0]["state"] =
        "leaving";
    EXPECT_EQ(Fleet.submitSheet(1), "accepted");
  });
}

TEST_F(Leaving, ShownByTheInstanceList) {
  registerLeaver("live");
  expectNoWorkAfter([this] { registerLeaver("leaving"); });
}

TEST_F(Leaving, ShownByClosedConnections) {
  // It takes what reaches it, so that the journal would show new work.
  expectNoWorkAfter([this] {
    setFaults(
        {{"exchange", "close_before_execute"}, {"close_connections", true}});
  });
}

TEST_F(Leaving, IsToldToInstancesThatDoNotAskIt) {
  expectToldToOthers(
      [this] {
        setFaults({{"draining", true}, {"reported_health", "ok"}});
      },
      1);
}

TEST_F(Leaving, ClosedConnectionsAreToldToInstancesThatDoNotAskIt) {
  expectToldToOthers(
      [this] {
        setFaults({{"exchange", "close_before_execute"},
                   {"close_connections", true}});
      },
      LossesBelieved);
}

TEST_F(Leaving, IsNotBelievedOfAServerThatOnlyItsHealthReportDenies) {
  setFaults({{"reported_health", "draining"}});
  askDuring({0, 1, 2}, [] { waitMs(WatchMs); });
  EXPECT_EQ(Failed, 0) << "of " << Asked;
  EXPECT_GT(receivedSince(Fleet.backend().journal(), Leaver, 0), 0);
}
