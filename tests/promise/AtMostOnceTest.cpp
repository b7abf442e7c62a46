#include "support/ChildProcess.h"
#include "support/CommandCaller.h"
#include "support/FakeProcess.h"
#include "support/TestDaemon.h"
#include "support/TestFleet.h"
#include "support/WaitUntil.h"
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <thread>

using namespace quetzallead;
using nlohmann::json;

namespace {

constexpr std::size_t Issuer = 0;
/// Commands re-sent to three instances; the parameter is the state of the
/// platform throughout.
class AtMostOnce : public testing::TestWithParam<const char *> {
protected:
  AtMostOnce() : Fleet(options()) {}

  static TestFleetOptions options() {
    TestFleetOptions Options;
    Options.Shape.Shards = 1;
    Options.Shape.TimeoutMs = 1000;
    Options.Shape.CoverageWaitMs = 1000;
    Options.BackendArguments = {"--service-time-ms", "2"};
    return Options;
  }

  void SetUp() override {
    ASSERT_TRUE(Fleet.start()) << Fleet.problem();
    const std::string State = GetParam();
    json Faults = json::object();
    if (State == "losing")
      Faults["lose_write_answers"] = 1000000;
    else
      Faults["outage"] = State == "up" ? "none" : State;
    ASSERT_TRUE(Fleet.platform().post("/faults", Faults).is_object());
  }

  void setFaults(const json &Faults) {
    ASSERT_TRUE(Fleet.backend().setFaults("*", Faults));
  }

  TicketedCommand makeCommand(std::size_t Index) { return Callers.make(Index); }

  std::string send(std::size_t Index, const TicketedCommand &Command) {
    return Callers.send(Index, Command);
  }

  /// Sends a copy to every instance, one after the other.
  void sendToAll(const std::vector<TicketedCommand> &Copies) {
    for (const TicketedCommand &Command : Copies)
      for (std::size_t Index = 0; Index < Fleet.size(); ++Index)
        send(Index, Command);
  }

  bool waitBegun(const TicketedCommand &Command) {
    return Callers.waitBegun(Command);
  }

  /// Compares every word with the journals, and notes how often each fell.
  void expectTruth() {
    setFaults({{"exchange", "none"}, {"service_time_ms", 1}});
    EXPECT_TRUE(waitIdle(Fleet));
    EXPECT_THAT(Callers.contradictions(), testing::IsEmpty());
    for (const auto &[Word, Count] : Callers.words())
      RecordProperty("told_" + Word, Count);
  }

  TestFleet Fleet;
  CommandCaller Callers{Fleet};
};

} // namespace

TEST_P(AtMostOnce, SentAtTheSameTimeAndLater) {
  constexpr int Rounds = 9;
  constexpr std::size_t Copies = 6;
  setFaults({{"service_time_ms", 20}});
  for (int Round = 0; Round < Rounds; ++Round) {
    const TicketedCommand Command = makeCommand(Round % Fleet.size());
    std::vector<std::thread> Senders;
    for (std::size_t I = 0; I < Copies; ++I)
      Senders.emplace_back([&, I] { send(I % Fleet.size(), Command); });
    for (std::thread &Sender : Senders)
      Sender.join();
    for (std::size_t Index = 0; Index < Fleet.size(); ++Index)
      EXPECT_EQ(send(Index, Command), "ran")
          << "issuer " << Round % 3 << ", asked " << Index;
  }
  expectTruth();
}

TEST_P(AtMostOnce, IssuerPausedAndResumed) {
  setFaults({{"service_time_ms", 300}});
  const TicketedCommand Running = makeCommand(Issuer);
  const TicketedCommand Waiting = makeCommand(Issuer);
  std::thread Sender([&] { send(Issuer, Running); });
  EXPECT_TRUE(waitBegun(Running));
  Fleet.daemon(Issuer).Process->pause();
  // Forwarded to the paused issuer, which may find them once it goes on.
  EXPECT_EQ(send(1, Running), "unknown");
  EXPECT_EQ(send(2, Waiting), "unknown");
  std::thread Other([&] { send(1, Waiting); });
  Fleet.daemon(Issuer).Process->resume();
  Other.join();
  Sender.join();
  sendToAll({Running, Waiting});
  expectTruth();
}

TEST_P(AtMostOnce, IssuerKilledAndReplaced) {
  const TicketedCommand Spent = makeCommand(Issuer);
  const TicketedCommand Running = makeCommand(Issuer);
  const TicketedCommand Unspent = makeCommand(Issuer);
  EXPECT_EQ(send(Issuer, Spent), "ran");
  setFaults({{"service_time_ms", 300}});
  std::thread Sender([&] { send(Issuer, Running); });
  EXPECT_TRUE(waitBegun(Running));
  Fleet.daemon(Issuer).Process->kill();
  Sender.join();
  for (std::size_t Index = 1; Index < Fleet.size(); ++Index)
    for (const TicketedCommand &Command : {Spent, Running, Unspent})
      EXPECT_EQ(send(Index, Command), "unknown");
  ASSERT_TRUE(Fleet.startDaemon(Issuer)) << Fleet.logs();
  // The new process has the old one's name and none of its memory.
  sendToAll({Spent, Running, Unspent});
  expectTruth();
}

TEST_P(AtMostOnce, IssuerStoppedAsPlanned) {
  const TicketedCommand Spent = makeCommand(Issuer);
  const TicketedCommand Running = makeCommand(Issuer);
  const TicketedCommand Unspent = makeCommand(Issuer);
  EXPECT_EQ(send(Issuer, Spent), "ran");
  setFaults({{"service_time_ms", 400}});
  std::thread Sender([&] { EXPECT_EQ(send(Issuer, Running), "ran"); });
  EXPECT_TRUE(waitBegun(Running));
  Fleet.daemon(Issuer).Process->terminate();
  EXPECT_TRUE(Fleet.daemon(Issuer).Process->waitForOutput("event=draining",
                                                          GenerousLimit));
  send(Issuer, Running);
  send(Issuer, Spent);
  Sender.join();
  EXPECT_EQ(Fleet.daemon(Issuer).Process->wait(GenerousLimit), 0);
  for (std::size_t Index = 1; Index < Fleet.size(); ++Index) {
    EXPECT_EQ(send(Index, Spent), "ran");
    EXPECT_EQ(send(Index, Running), "ran");
    EXPECT_EQ(send(Index, Unspent), "not_run");
  }
  ASSERT_TRUE(Fleet.startDaemon(Issuer)) << Fleet.logs();
  sendToAll({Spent, Running, Unspent});
  expectTruth();
}

TEST_P(AtMostOnce, BackendConnectionsCut) {
  std::vector<TicketedCommand> Sent;
  for (const char *Fault :
       {"close_before_read", "close_after_headers", "close_before_execute",
        "close_after_execute", "close_mid_reply", "malformed", "wrong_id"}) {
    // On connections that were used before, and on new ones.
    for (const bool Warm : {true, false}) {
      setFaults({{"exchange", "none"}, {"close_connections", !Warm}});
      Sent.push_back(makeCommand(Sent.size() % Fleet.size()));
      setFaults({{"exchange", Fault}});
      for (std::size_t Index = 0; Index < Fleet.size(); ++Index)
        send(Index, Sent.back());
    }
  }
  setFaults({{"exchange", "none"}});
  sendToAll(Sent);
  expectTruth();
}

INSTANTIATE_TEST_SUITE_P(, AtMostOnce,
                         testing::Values("up", "refuse", "hang", "losing"),
                         [](const auto &Info) {
                           return std::string(Info.param);
                         });
