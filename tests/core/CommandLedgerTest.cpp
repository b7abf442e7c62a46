#include "core/command/CommandLedger.h"

#include "absl/strings/str_cat.h"
#include "core/session/KeyRing.h"
#include <gtest/gtest.h>

namespace quetzallead {
namespace {

const TimePoint Start = absl::FromUnixSeconds(1'700'000'000);
const Duration Lifetime = absl::Seconds(TicketIssuer::LifetimeSeconds);

std::shared_ptr<const KeyRing> ringOf(const std::string &Id) {
  return std::make_shared<const KeyRing>(
      *KeyRing::make({SigningKey{Id, std::string(32, 's')}}));
}

class CommandLedgerTest : public ::testing::Test {
protected:
  CommandLedgerTest() : A(ledger("a", 1)) {}

  std::unique_ptr<CommandLedger> ledger(const std::string &Name,
                                        std::uint64_t Incarnation) {
    return std::make_unique<CommandLedger>(
        Name, Incarnation, Keys, [this](const Ticket &) { return Standing; });
  }

  CommandArrival arrival(const std::string &TicketText,
                         const std::string &Body = "wipe 7") {
    CommandArrival Arrival;
    Arrival.Id = NextArrival++;
    Arrival.TicketText = TicketText;
    Arrival.Fingerprint = fingerprintOf("session", "ledger", Body);
    Arrival.Deadline = Start + absl::Hours(2);
    return Arrival;
  }

  /// Sends a command with \p TicketText and returns its sequence; it must run.
  std::uint64_t begin(const std::string &TicketText) {
    const CommandActions Actions = A->received(arrival(TicketText), Start);
    return std::get<RunAttempt>(Actions.at(0)).Sequence;
  }

  static CommandAnswer answer(const CommandActions &Actions) {
    EXPECT_EQ(Actions.size(), 1u);
    return std::get<AnswerCommand>(Actions.at(0)).Answer;
  }

  CommandAnswer ask(CommandLedger &L, const std::string &TicketText,
                    TimePoint Now = Start) {
    return answer(L.received(arrival(TicketText), Now));
  }

  std::shared_ptr<const KeyRing> Keys = ringOf("k");
  IssuerStanding Standing;
  std::unique_ptr<CommandLedger> A;
  std::uint64_t NextArrival = 1;
};

TEST_F(CommandLedgerTest, RefusesWithoutATicketAndOffersOne) {
  for (const char *Text : {"", "made-up", "k.AAAA.AAAA"}) {
    const CommandAnswer Got = ask(*A, Text);
    EXPECT_EQ(Got.Status, CommandStatus::TicketRequired);
    EXPECT_EQ(Got.State, RunState::NotRun);
    EXPECT_NE(Got.FreshTicket, "");
  }
}

TEST_F(CommandLedgerTest, ATicketWhoseKeyWasRetiredIsUnknown) {
  const std::string Text = A->issueTicket(Start);
  Keys = ringOf("next");
  EXPECT_EQ(ask(*ledger("a", 1), Text).State, RunState::Unknown);
}

TEST_F(CommandLedgerTest, GivesTheRememberedAnswerAgain) {
  const std::string Text = A->issueTicket(Start);
  const std::uint64_t Sequence = begin(Text);
  EXPECT_EQ(ask(*A, Text).Status, CommandStatus::InProgress);
  const CommandAnswer First = answer(
      A->attemptEnded(Sequence, AttemptOutcome::Answered, "done", Start));
  const CommandAnswer Again = ask(*A, Text);
  EXPECT_EQ(First.Body, "done");
  EXPECT_EQ(Again.Body, "done");
  EXPECT_EQ(Again.State, RunState::Ran);
}

TEST_F(CommandLedgerTest, AnotherBodyUnderTheSameTicketIsRefused) {
  const std::string Text = A->issueTicket(Start);
  const std::uint64_t Sequence = begin(Text);
  const CommandArrival Other = arrival(Text, "wipe 8");
  EXPECT_EQ(answer(A->received(Other, Start)).Status,
            CommandStatus::TicketReused);
  A->attemptEnded(Sequence, AttemptOutcome::Answered, "done", Start);
  EXPECT_EQ(answer(A->received(Other, Start)).Status,
            CommandStatus::TicketReused);
}

TEST_F(CommandLedgerTest, TriesAnotherReplicaOnlyIfTheFirstDidNotRunIt) {
  const std::uint64_t Sequence = begin(A->issueTicket(Start));
  const CommandActions Second =
      A->attemptEnded(Sequence, AttemptOutcome::RefusedUnrun, "", Start);
  EXPECT_EQ(std::get<RunAttempt>(Second.at(0)).Attempt, 2);
  const CommandAnswer Got =
      answer(A->attemptEnded(Sequence, AttemptOutcome::Unknown, "", Start));
  EXPECT_EQ(Got.Status, CommandStatus::RunUnknown);
  EXPECT_TRUE(
      A->attemptEnded(Sequence, AttemptOutcome::NotSent, "", Start).empty());
}

TEST_F(CommandLedgerTest, GivesUpUnrunAfterTheLastAttempt) {
  const std::string Text = A->issueTicket(Start);
  const std::uint64_t Sequence = begin(Text);
  CommandActions Actions;
  for (int I = 0; I < CommandLedger::MaxAttempts; ++I)
    Actions = A->attemptEnded(Sequence, AttemptOutcome::NotSent, "", Start);
  EXPECT_EQ(answer(Actions).State, RunState::NotRun);
  EXPECT_NE(answer(Actions).FreshTicket, "");
  EXPECT_EQ(ask(*A, Text).Status, CommandStatus::NoReplica);
}

TEST_F(CommandLedgerTest, KnowsAfterExpiryWhetherItRan) {
  const std::string Unspent = A->issueTicket(Start);
  const std::string Text = A->issueTicket(Start);
  A->attemptEnded(begin(Text), AttemptOutcome::Answered, "done", Start);
  EXPECT_EQ(A->bodyBytes(), 4u);
  const TimePoint Later = Start + Lifetime;
  A->tick(Later);
  EXPECT_EQ(A->bodyBytes(), 0u);
  EXPECT_EQ(ask(*A, Text, Later).State, RunState::Ran);
  EXPECT_EQ(ask(*A, Text, Later).Status, CommandStatus::TicketExpired);
  EXPECT_EQ(ask(*A, Unspent, Later).State, RunState::NotRun);
  // A clock reading that comes late cannot bring the ticket back.
  EXPECT_EQ(ask(*A, Unspent, Start).State, RunState::NotRun);
}

TEST_F(CommandLedgerTest, RefusesUnrunRatherThanForgetEarly) {
  std::string Last;
  std::string First;
  CommandAnswer Got;
  std::size_t Ran = 0;
  while (Ran <= CommandLedger::MaxSpent) {
    Last = A->issueTicket(Start);
    First = First.empty() ? Last : First;
    const CommandActions Actions = A->received(arrival(Last), Start);
    if (const auto *Refusal = std::get_if<AnswerCommand>(&Actions.at(0))) {
      Got = Refusal->Answer;
      break;
    }
    A->attemptEnded(std::get<RunAttempt>(Actions[0]).Sequence,
                    AttemptOutcome::Answered, "ok", Start);
    ++Ran;
  }
  EXPECT_EQ(Ran, CommandLedger::MaxSpent - CommandLedger::ReservedForRefusals);
  EXPECT_EQ(Got.Status, CommandStatus::Overloaded);
  EXPECT_EQ(ask(*A, Last).State, RunState::NotRun);
  EXPECT_EQ(ask(*A, First).Body, "ok");
  const TimePoint Later = Start + Lifetime;
  A->tick(Later);
  const CommandActions Actions =
      A->received(arrival(A->issueTicket(Later)), Later);
  EXPECT_TRUE(std::holds_alternative<RunAttempt>(Actions.at(0)));
}

TEST_F(CommandLedgerTest, BodiesAreBounded) {
  const std::string Big(CommandLedger::MaxBodyBytesEach, 'b');
  for (std::size_t I = 0; I < 2 * CommandLedger::MaxBodyBytes / Big.size();
       ++I) {
    const CommandActions Actions =
        A->received(arrival(A->issueTicket(Start)), Start);
    if (const auto *Begun = std::get_if<RunAttempt>(&Actions.at(0)))
      A->attemptEnded(Begun->Sequence, AttemptOutcome::Answered, Big, Start);
  }
  EXPECT_LE(A->bodyBytes(), CommandLedger::MaxBodyBytes);
  EXPECT_GE(A->bodyBytes(), CommandLedger::MaxBodyBytes - Big.size());
}

TEST_F(CommandLedgerTest, ForwardsToTheIssuerAndNeverRunsForIt) {
  const auto B = ledger("b", 1);
  const std::string Text = A->issueTicket(Start);
  EXPECT_EQ(ask(*B, Text).State, RunState::Unknown);
  Standing.Live = true;
  CommandArrival Arrival = arrival(Text);
  const CommandActions Actions = B->received(Arrival, Start);
  EXPECT_EQ(std::get<ForwardCommand>(Actions.at(0)).Instance, "a");
  EXPECT_EQ(answer(B->forwardFailed(Arrival.Id)).State, RunState::Unknown);
  Arrival.Forwarded = true;
  EXPECT_EQ(answer(B->received(Arrival, Start)).State, RunState::Unknown);
}

TEST_F(CommandLedgerTest, SuccessorsKnowAfterAPlannedStop) {
  const std::string Unspent = A->issueTicket(Start);
  const std::string Text = A->issueTicket(Start);
  const std::uint64_t Sequence = begin(Text);
  A->drain();
  EXPECT_FALSE(A->isDrained());
  EXPECT_EQ(A->issueTicket(Start), "");
  EXPECT_EQ(ask(*A, Unspent).Status, CommandStatus::Draining);
  A->attemptEnded(Sequence, AttemptOutcome::Answered, "done", Start);
  ASSERT_TRUE(A->isDrained());

  const auto B = ledger("b", 1);
  const std::string Bytes = encodeHandover(A->lastWords().at(0), Start);
  ASSERT_TRUE(B->takeOver(*decodeHandover(Bytes, Start), Start));
  EXPECT_EQ(ask(*B, Text).Body, "done");
  EXPECT_EQ(ask(*B, Unspent).State, RunState::NotRun);
  EXPECT_NE(ask(*B, Unspent).FreshTicket, "");

  // A third instance asks the successors in turn.
  const auto C = ledger("c", 1);
  Standing.Successors = {"d", "b"};
  const CommandArrival Arrival = arrival(Text);
  const CommandActions ToD = C->received(Arrival, Start);
  EXPECT_EQ(std::get<ForwardCommand>(ToD.at(0)).Instance, "d");
  const CommandActions ToB = C->forwardFailed(Arrival.Id);
  EXPECT_EQ(std::get<ForwardCommand>(ToB.at(0)).Instance, "b");
  EXPECT_EQ(answer(C->forwardAnswered(Arrival.Id, ask(*B, Text), Start)).Body,
            "done");
}

TEST_F(CommandLedgerTest, AbandonedRunsAreHandedOverAsUnknown) {
  const std::string Text = A->issueTicket(Start);
  begin(Text);
  A->drain();
  EXPECT_EQ(answer(A->abandonRuns(Start)).State, RunState::Unknown);
  const auto B = ledger("b", 1);
  ASSERT_TRUE(B->takeOver(A->lastWords().at(0), Start));
  EXPECT_EQ(ask(*B, Text).State, RunState::Unknown);
}

TEST_F(CommandLedgerTest, LastWordsAreBoundedAndPassedOn) {
  const auto B = ledger("b", 1);
  for (std::size_t I = 0; I <= CommandLedger::MaxPredecessors; ++I) {
    const auto P = ledger(absl::StrCat("p", I), 1);
    P->drain();
    EXPECT_EQ(B->takeOver(P->lastWords().at(0), Start),
              I < CommandLedger::MaxPredecessors);
  }
  B->drain();
  EXPECT_EQ(B->lastWords().size(), 1 + CommandLedger::MaxPredecessors);
  EXPECT_FALSE(B->takeOver(HandoverStatement{"q", 1, 0, {}}, Start));
}

} // namespace
} // namespace quetzallead
