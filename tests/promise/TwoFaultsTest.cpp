#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "quetzallead/PosixMutex.h"
#include "support/ChildProcess.h"
#include "support/CommandCaller.h"
#include "support/CoverageCheck.h"
#include "support/FakeProcess.h"
#include "support/Fetch.h"
#include "support/SheetOperator.h"
#include "support/TestDaemon.h"
#include "support/TestFleet.h"
#include "support/WaitUntil.h"
#include <atomic>
#include <cstdlib>
#include <deque>
#include <functional>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <iostream>
#include <random>
#include <thread>

using namespace quetzallead;
using nlohmann::json;

namespace {

/// Environment variables of a longer run.
constexpr const char *SeedVariable = "QUETZALLEAD_FAULT_SEED";
constexpr const char *RoundsVariable = "QUETZALLEAD_FAULT_ROUNDS";
constexpr std::uint32_t DefaultSeed = 20261203;
constexpr std::uint32_t DefaultRounds = 8;

/// A round ends after so many answers, or after this time.
constexpr int AnswersPerRound = 60;
constexpr Duration LongestRound = absl::Seconds(1);

constexpr std::size_t CommandsBetweenCopies = 20;

/// Pause between changes of the sheet, and the number of the latest that are
/// looked up in the audit at the end; older ones may have been archived.
constexpr Duration ChangePause = absl::Milliseconds(200);
constexpr std::size_t AuditedChanges = 50;

std::uint32_t numberFrom(const char *Variable, std::uint32_t Otherwise) {
  const char *Text = std::getenv(Variable);
  std::uint32_t Number = 0;
  return Text != nullptr && absl::SimpleAtoi(Text, &Number) ? Number
                                                            : Otherwise;
}

/// Something that goes wrong and is mended again.
struct Fault {
  std::string Name;
  std::function<void()> Begin;
  std::function<void()> End;
};

/// Callers and an operator at three instances, under two faults at a time.
class TwoFaults : public testing::Test {
protected:
  TwoFaults() : Fleet(options()) {}

  static TestFleetOptions options() {
    TestFleetOptions Options;
    Options.Shape.TimeoutMs = 800;
    Options.Shape.CoverageWaitMs = 300;
    Options.Shape.LeastCoverage = 0.3;
    Options.BackendArguments = {"--version", "10", "--service-time-ms", "2"};
    return Options;
  }

  void SetUp() override {
    ASSERT_TRUE(Fleet.start()) << Fleet.problem();
    Partition = Fleet.sheet()["services"][0]["shards"];
    makeFaults();
  }

  void addBackendFault(const std::string &Server, const json &Begin,
                       const json &End) {
    Faults.push_back({Server + " " + Begin.dump(),
                      [=] { Fleet.backend().setFaults(Server, Begin); },
                      [=] { Fleet.backend().setFaults(Server, End); }});
  }

  void addPlatformFault(const json &Begin, const json &End) {
    Faults.push_back({"platform " + Begin.dump(),
                      [=] { Fleet.platform().post("/faults", Begin); },
                      [=] { Fleet.platform().post("/faults", End); }});
  }

  void start(std::size_t Index) {
    EXPECT_TRUE(Fleet.startDaemon(Index)) << Fleet.logs();
  }

  void addInstanceFaults(std::size_t Index) {
    Faults.push_back({absl::StrCat("kill ", Index),
                      [=] {
                        Fleet.daemon(Index).Process->kill();
                        Fleet.daemon(Index).Process->wait(GenerousLimit);
                      },
                      [=] { start(Index); }});
    Faults.push_back(
        {absl::StrCat("stop ", Index),
         [=] { Fleet.daemon(Index).Process->terminate(); },
         [=] {
           EXPECT_EQ(Fleet.daemon(Index).Process->wait(GenerousLimit), 0);
           start(Index);
         }});
    Faults.push_back({absl::StrCat("pause ", Index),
                      [=] { Fleet.daemon(Index).Process->pause(); },
                      [=] { Fleet.daemon(Index).Process->resume(); }});
  }

  void makeFaults() {
    // One instance for each pair of process faults, so that a pair never
    // starts and ends the same process.
    for (std::size_t Index = 0; Index < Fleet.size(); ++Index)
      addInstanceFaults(Index);
    const json Up = {{"outage", "none"}};
    for (const char *Outage : {"refuse", "hang", "error"})
      addPlatformFault({{"outage", Outage}}, Up);
    addPlatformFault({{"lose_write_answers", 3}}, {{"lose_write_answers", 0}});
    addPlatformFault({{"slow_ms", 200}}, {{"slow_ms", 0}});
    addPlatformFault({{"frozen_list", true}}, {{"frozen_list", false}});
    addBackendFault("s0-a", {{"listening", false}, {"close_connections", true}},
                    {{"listening", true}});
    addBackendFault("s1-b", {{"frozen", true}}, {{"frozen", false}});
    addBackendFault("s2-c", {{"draining", true}}, {{"draining", false}});
    addBackendFault("*", {{"shed_share", 0.3}}, {{"shed_share", 0}});
    addBackendFault("*",
                    {{"exchange", "close_mid_reply"}, {"exchange_share", 0.2}},
                    {{"exchange", "none"}, {"exchange_share", 1}});
    addBackendFault("*", {{"exchange", "crossed"}, {"exchange_share", 0.2}},
                    {{"exchange", "none"}, {"exchange_share", 1}});
    addBackendFault("*", {{"latency_ms", 400}, {"latency_share", 0.1}},
                    {{"latency_ms", 0}, {"latency_share", 1}});
    const auto MoveOn = [this] {
      ++Newest;
      for (const char *Server : {"s0-a", "s1-a", "s2-a", "s0-b", "s1-c"})
        Fleet.backend().setFaults(Server, {{"newest", Newest.load()}});
    };
    const auto AllMoveOn = [this] {
      Fleet.backend().setFaults(
          "*", {{"oldest", Newest.load()}, {"newest", Newest.load()}});
    };
    Faults.push_back({"new version", MoveOn, AllMoveOn});
  }

  /// The instance that a fault ends; none for other faults.
  static std::string instanceOf(const Fault &F) {
    const std::size_t Space = F.Name.find(' ');
    const std::string Kind = F.Name.substr(0, Space);
    const bool OfInstance = Kind == "kill" || Kind == "stop" || Kind == "pause";
    return OfInstance ? F.Name.substr(Space) : std::string();
  }

  void survey(std::size_t Index, std::string &Token, std::uint64_t &Seen) {
    HttpFields Headers;
    if (!Token.empty())
      Headers.add("Quetzallead-Session", Token);
    const auto Answer = Fleet.ask(Index, "survey", json::object(), Headers);
    if (!Answer)
      return;
    EXPECT_NE(Answer->Status, 401) << "a session was dropped";
    const std::string *Next = Answer->Headers.find("Quetzallead-Session");
    if (Next != nullptr)
      Token = *Next;
    if (Answer->Status != 200)
      return;
    ++Answered;
    const json Body = bodyOf(*Answer);
    EXPECT_THAT(coverageFaults(Body, Partition), testing::IsEmpty()) << Body;
    const std::uint64_t Version = Body["snapshot"]["version"];
    EXPECT_GE(Version, Seen) << "a session went back";
    Seen = Version;
  }

  void keepSurveying(std::size_t First) {
    FetchCall Open;
    Open.Method = "POST";
    Open.Address = Fleet.daemon(First).Caller;
    Open.Target = "/v1/sessions";
    Open.Body = "{}";
    const auto Opened = fetch(Open);
    ASSERT_TRUE(Opened && Opened->Status == 201);
    std::string Token = *Opened->Headers.find("Quetzallead-Session");
    std::uint64_t Seen = 0;
    for (std::size_t Index = First; !Stop; ++Index)
      survey(Index % Fleet.size(), Token, Seen);
  }

  /// Sends each command twice at once, and once more after others, when its
  /// issuer may be gone.
  void keepCommanding(std::size_t First) {
    std::deque<TicketedCommand> Recent;
    for (std::size_t I = First; !Stop; ++I) {
      const TicketedCommand Command =
          Callers.make(I % Fleet.size(), static_cast<int>(I % 3));
      if (Command.Ticket.empty())
        continue;
      for (std::size_t Copy = 0; Copy < 2; ++Copy)
        Callers.send((I + Copy) % Fleet.size(), Command);
      Recent.push_back(Command);
      if (Recent.size() <= CommandsBetweenCopies)
        continue;
      Callers.send((I + 2) % Fleet.size(), Recent.front());
      Recent.pop_front();
    }
  }

  void keepChanging() {
    for (std::size_t I = 0; !Stop; ++I) {
      const std::size_t Index = I % Fleet.size();
      const std::uint64_t Base = Operator.revisionAt(Index);
      // An instance may be away or behind.
      if (Base != 0) {
        const TestSheetChange Change = Operator.make(Base);
        const SheetVerdict Told =
            Operator.settle((I + 1) % Fleet.size(), Change);
        note(Change, Told);
      }
      absl::SleepFor(ChangePause);
    }
  }

  void note(const TestSheetChange &Change, const SheetVerdict &Told) {
    const PosixMutexLock Held(&Lock);
    if (Told.Outcome == "accepted") {
      Accepted.push_back(Change.Id);
      Highest = std::max(Highest, Told.Revision);
      if (Accepted.size() > AuditedChanges)
        Accepted.pop_front();
    } else if (Told.Outcome == "conflict" || Told.Outcome == "rejected") {
      Refused.push_back(Change.Id);
    }
  }

  /// Two faults that don't end the same process.
  std::pair<Fault *, Fault *> drawPair(std::mt19937 &Engine) {
    for (;;) {
      Fault &A = Faults[Engine() % Faults.size()];
      Fault &B = Faults[Engine() % Faults.size()];
      const std::string Instance = instanceOf(A);
      if (&A != &B && (Instance.empty() || Instance != instanceOf(B)))
        return {&A, &B};
    }
  }

  void bringAbout(const Fault &A, const Fault &B) {
    std::cout << "faults: " << A.Name << " and " << B.Name << std::endl;
    A.Begin();
    B.Begin();
    const int Wanted = Answered + AnswersPerRound;
    waitUntil([&] { return Answered >= Wanted; }, LongestRound);
    B.End();
    A.End();
  }

  void expectAllMended() {
    for (std::size_t Index = 0; Index < Fleet.size(); ++Index)
      EXPECT_TRUE(Fleet.waitReady(Index)) << Fleet.logs();
    EXPECT_TRUE(waitIdle(Fleet));
    EXPECT_THAT(Callers.contradictions(), testing::IsEmpty());
    const PosixMutexLock Held(&Lock);
    for (std::size_t Index = 0; Index < Fleet.size(); ++Index) {
      EXPECT_TRUE(waitUntil([&] {
        return Operator.revisionAt(Index) >= Highest;
      })) << Fleet.logs();
      for (const std::string &Id : Accepted)
        EXPECT_EQ(Operator.auditedAt(Index, Id), 1) << Id;
      for (const std::string &Id : Refused)
        EXPECT_EQ(Operator.auditedAt(Index, Id), 0) << Id;
      EXPECT_TRUE(waitUntil([&] {
        const auto Answer = Fleet.ask(Index, "survey", json::object());
        return Answer && Answer->Status == 200 &&
               bodyOf(*Answer)["coverage"]["complete"] == true;
      })) << Fleet.logs();
    }
  }

  TestFleet Fleet;
  CommandCaller Callers{Fleet};
  SheetOperator Operator{Fleet};
  json Partition;
  std::vector<Fault> Faults;
  std::atomic<bool> Stop{false};
  std::atomic<int> Answered{0};
  std::atomic<int> Newest{10};
  PosixMutex Lock;
  std::deque<std::string> Accepted ABSL_GUARDED_BY(Lock);
  std::vector<std::string> Refused ABSL_GUARDED_BY(Lock);
  std::uint64_t Highest ABSL_GUARDED_BY(Lock) = 0;
};

} // namespace

TEST_F(TwoFaults, LeaveEveryPromiseStanding) {
  const std::uint32_t Seed = numberFrom(SeedVariable, DefaultSeed);
  const std::uint32_t Rounds = numberFrom(RoundsVariable, DefaultRounds);
  std::cout << SeedVariable << "=" << Seed << " " << RoundsVariable << "="
            << Rounds << std::endl;
  std::mt19937 Engine(Seed);
  std::vector<std::thread> Threads;
  for (std::size_t First = 0; First < 2; ++First) {
    Threads.emplace_back([this, First] { keepSurveying(First); });
    Threads.emplace_back([this, First] { keepCommanding(First); });
  }
  Threads.emplace_back([this] { keepChanging(); });
  EXPECT_TRUE(waitUntil([this] { return Answered > 0; }));
  for (std::uint32_t Round = 0; Round < Rounds; ++Round) {
    const auto [A, B] = drawPair(Engine);
    bringAbout(*A, *B);
  }
  Stop = true;
  for (std::thread &Thread : Threads)
    Thread.join();
  expectAllMended();
  RecordProperty("answered", Answered);
  for (const auto &[Word, Count] : Callers.words())
    RecordProperty("told_" + Word, Count);
}
