#include "absl/base/thread_annotations.h"
#include "absl/strings/str_cat.h"
#include "quetzallead/PosixMutex.h"
#include "support/CallerAnswer.h"
#include "support/FakeProcess.h"
#include "support/JournalView.h"
#include "support/RunThreads.h"
#include "support/TestFleet.h"
#include "support/WaitUntil.h"
#include <gtest/gtest.h>

using namespace quetzallead;
using nlohmann::json;

namespace {

/// One request and what its caller was told.
struct Told {
  std::string Fault;
  /// Null for a query.
  json Command;
  CallerAnswer Answer;
};

/// Requests under faults; at the end what callers were told is compared with
/// the journals of the backend servers.
class NotRun : public testing::Test {
protected:
  NotRun() : Fleet(options()) {}

  static TestFleetOptions options() {
    TestFleetOptions Options;
    Options.Shape.Zones = {"a", "b"};
    Options.Shape.Shards = 1;
    Options.Shape.Slots = 1;
    Options.Shape.TimeoutMs = 400;
    Options.Shape.CoverageWaitMs = 400;
    Options.Daemons = {"a"};
    return Options;
  }

  void SetUp() override { ASSERT_TRUE(Fleet.start()) << Fleet.problem(); }

  void setFaults(const json &Faults) {
    ASSERT_TRUE(Fleet.backend().setFaults("*", Faults));
  }

  void command(const std::string &Fault) {
    HttpFields Headers;
    Headers.add("Idempotency-Key", Fleet.ticket(0));
    Told Note;
    Note.Fault = Fault;
    {
      const PosixMutexLock Held(&Lock);
      Note.Command = {{"n", ++Commands}};
    }
    Note.Answer = toCallerAnswer(Fleet.ask(
        0, "command", {{"key", "a1"}, {"command", Note.Command}}, Headers));
    note(std::move(Note));
  }

  void survey(const std::string &Fault, int TimeoutMs) {
    Told Note;
    Note.Fault = Fault;
    Note.Answer =
        toCallerAnswer(Fleet.ask(0, "survey", {{"timeout_ms", TimeoutMs}}));
    note(std::move(Note));
  }

  void note(Told Note) {
    const PosixMutexLock Held(&Lock);
    Notes.push_back(std::move(Note));
  }

  /// Waits until no server works any more.
  void settle() {
    setFaults({{"frozen", false},
               {"listening", true},
               {"refuse_connections", false},
               {"exchange", "none"},
               {"latency_ms", 0}});
    EXPECT_TRUE(waitUntil([this] {
      const json Listed = Fleet.backend().get("/servers");
      for (const json &Server : Listed["servers"])
        if (Server["load"]["busy"] != 0 || Server["load"]["queued"] != 0)
          return false;
      return true;
    }));
  }

  void expectTruth(const Told &Note, const json &Journal) {
    const CallerAnswer &Answer = Note.Answer;
    SCOPED_TRACE(absl::StrCat("fault ", Note.Fault, ", told ", Answer.Status,
                              " ", Answer.RunState, " ", Answer.Body.dump()));
    ASSERT_NE(Answer.Status, 0) << "no response";
    if (Answer.RunState == "not_run") {
      EXPECT_EQ(begunAttempts(Journal, Answer.RequestId), 0);
    }
    if (Note.Command.is_null())
      return;
    const int Begun = begunCommands(Journal, Note.Command);
    EXPECT_LE(Begun, 1);
    if (Answer.RunState == "not_run") {
      EXPECT_EQ(Begun, 0);
    }
    if (Answer.ok() || Answer.RunState == "ran") {
      EXPECT_EQ(Begun, 1);
    }
  }

  void expectTruth() {
    settle();
    const json Page = Fleet.backend().get("/journal");
    ASSERT_EQ(Page["dropped"], 0);
    const PosixMutexLock Held(&Lock);
    for (const Told &Note : Notes)
      expectTruth(Note, Page["entries"]);
  }

  int told(const std::string &RunState) {
    const PosixMutexLock Held(&Lock);
    return static_cast<int>(
        std::count_if(Notes.begin(), Notes.end(), [&](const Told &Note) {
          return Note.Answer.RunState == RunState;
        }));
  }

  TestFleet Fleet;
  PosixMutex Lock;
  int Commands ABSL_GUARDED_BY(Lock) = 0;
  std::vector<Told> Notes ABSL_GUARDED_BY(Lock);
};

} // namespace

TEST_F(NotRun, IsTrueWhereverTheConnectionBreaks) {
  for (const char *Fault :
       {"close_before_read", "close_after_headers", "close_before_execute",
        "close_after_execute", "close_mid_reply", "malformed", "wrong_id",
        "wrong_body_id"}) {
    // On a connection that was used before, and on a new one.
    for (const bool Warm : {true, false}) {
      setFaults({{"exchange", "none"}, {"close_connections", !Warm}});
      if (Warm)
        command("none");
      setFaults({{"exchange", Fault}});
      command(Fault);
      survey(Fault, 400);
    }
  }
  expectTruth();
  EXPECT_GT(told("ran"), 0);
}

TEST_F(NotRun, IsTrueAtEveryLengthOfACutReply) {
  constexpr int ReplyBytes = 300;
  for (int Bytes = 0; Bytes < ReplyBytes; Bytes += 10) {
    setFaults({{"exchange", "cut"}, {"cut_bytes", Bytes}});
    command(absl::StrCat("cut ", Bytes));
  }
  // A refusal that is cut short is no proof that nothing ran elsewhere.
  for (int Bytes = 0; Bytes < ReplyBytes; Bytes += 30) {
    setFaults({{"shed_share", 1}, {"cut_bytes", Bytes}});
    command(absl::StrCat("cut refusal ", Bytes));
  }
  expectTruth();
}

TEST_F(NotRun, IsTrueWithoutAConnection) {
  setFaults({{"listening", false}, {"close_connections", true}});
  for (int I = 0; I < 3; ++I) {
    command("not listening");
    survey("not listening", 400);
  }
  EXPECT_EQ(told("not_run"), 6);
  setFaults({{"listening", true}, {"refuse_connections", true}});
  for (int I = 0; I < 3; ++I) {
    command("refusing connections");
    survey("refusing connections", 400);
  }
  expectTruth();
}

TEST_F(NotRun, IsTrueWhenServersRefuse) {
  for (const char *Fault : {"draining", "starting"}) {
    setFaults({{Fault, true}});
    command(Fault);
    survey(Fault, 400);
    setFaults({{Fault, false}});
  }
  setFaults({{"shed_share", 0.5}});
  for (int I = 0; I < 10; ++I)
    command("shed");
  expectTruth();
}

TEST_F(NotRun, IsTrueWhenServersArePaused) {
  setFaults({{"frozen", true}});
  for (int I = 0; I < 3; ++I) {
    command("frozen");
    survey("frozen", 100);
  }
  // What was sent to a paused server runs once it goes on.
  expectTruth();
}

TEST_F(NotRun, IsTrueUnderOverload) {
  setFaults({{"service_time_ms", 30}, {"queue_limit", 4}});
  runThreads(16, [this](int Caller) {
    for (int I = 0; I < 8; ++I) {
      if ((Caller + I) % 2 == 0)
        command("overload");
      else
        survey("overload", 20 + 20 * (Caller % 4));
    }
  });
  expectTruth();
  EXPECT_GT(told("not_run"), 0);
  EXPECT_GT(told("ran"), 0);
}
