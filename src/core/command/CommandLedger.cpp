#include "core/command/CommandLedger.h"

#include "core/command/Ticket.h"
#include "core/session/TokenFault.h"
#include <algorithm>
#include <cassert>

namespace quetzallead {
namespace {

/// What a text that came as Idempotency-Key is.
struct TicketReading {
  std::optional<Ticket> Value;
  /// True if it may be a ticket that was good once.
  bool MayHaveBeenGood = false;
};

TicketReading readTicket(const KeyRing &Keys, const std::string &Text) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<TicketReading> {
        BOOST_LEAF_AUTO(T, verifyTicket(Keys, Text));
        return TicketReading{std::move(T), true};
      },
      [](TokenFault Fault) {
        return TicketReading{std::nullopt, Fault == TokenFault::UnknownKey};
      },
      [] { return TicketReading{}; });
}

CommandAnswer plainAnswer(CommandStatus Status, RunState State) {
  CommandAnswer Answer;
  Answer.Status = Status;
  Answer.State = State;
  return Answer;
}

CommandActions answerTo(std::uint64_t ArrivalId, CommandAnswer Answer) {
  return {AnswerCommand{ArrivalId, std::move(Answer)}};
}

CommandActions unknownTo(std::uint64_t ArrivalId) {
  return answerTo(ArrivalId,
                  plainAnswer(CommandStatus::RunUnknown, RunState::Unknown));
}

} // namespace

CommandLedger::CommandLedger(std::string Instance, std::uint64_t Incarnation,
                             std::shared_ptr<const KeyRing> KeyRingInUse,
                             StandingOf StandingOfIssuer)
    : Keys(std::move(KeyRingInUse)), Standing(std::move(StandingOfIssuer)),
      Issuer(std::move(Instance), Incarnation) {}

std::string CommandLedger::issueTicket(TimePoint Now) {
  return Issuer.issue(*Keys, Now);
}

CommandActions CommandLedger::received(const CommandArrival &Arrival,
                                       TimePoint EventTime) {
  Latest = std::max(Latest, EventTime);
  const TimePoint Now = Latest;
  const TicketReading Reading = readTicket(*Keys, Arrival.TicketText);
  if (Reading.Value)
    return Issuer.isOwn(*Reading.Value)
               ? receivedOwn(Arrival, *Reading.Value, Now)
               : receivedForeign(Arrival, *Reading.Value, Now);
  // A ticket whose key has left the ring may have been spent before.
  if (Reading.MayHaveBeenGood)
    return unknownTo(Arrival.Id);
  return answerTo(
      Arrival.Id,
      withFreshTicket(
          plainAnswer(CommandStatus::TicketRequired, RunState::NotRun), Now));
}

CommandActions CommandLedger::receivedOwn(const CommandArrival &Arrival,
                                          const Ticket &T, TimePoint Now) {
  if (const auto It = Runs.find(T.Sequence); It != Runs.end()) {
    const bool Same = It->second.Fingerprint == Arrival.Fingerprint;
    return answerTo(
        Arrival.Id,
        Same ? plainAnswer(CommandStatus::InProgress, RunState::Unknown)
             : plainAnswer(CommandStatus::TicketReused, RunState::NotRun));
  }
  if (const auto It = Spent.find(T.Sequence); It != Spent.end())
    return answerTo(
        Arrival.Id,
        withFreshTicket(answerFor(It->second, Arrival.Fingerprint, Now), Now));
  if (T.Sequence < Floor)
    return answerTo(Arrival.Id, plainAnswer(CommandStatus::TicketExpired,
                                            RunState::Unknown));
  // An expired ticket that is not among the spent ones never runs.
  if (T.Expires <= Now)
    return answerTo(
        Arrival.Id,
        withFreshTicket(
            plainAnswer(CommandStatus::TicketExpired, RunState::NotRun), Now));
  // Nor does any that comes while draining.
  if (Draining)
    return answerTo(Arrival.Id,
                    plainAnswer(CommandStatus::Draining, RunState::NotRun));
  if (Arrival.Deadline <= Now)
    return refuse(Arrival, T, CommandStatus::Deadline, Now);
  if (!hasRoomToRun(Now))
    return refuse(Arrival, T, CommandStatus::Overloaded, Now);
  return begin(Arrival, T);
}

CommandActions CommandLedger::begin(const CommandArrival &Arrival,
                                    const Ticket &T) {
  Run R;
  R.ArrivalId = Arrival.Id;
  R.Fingerprint = Arrival.Fingerprint;
  R.Deadline = Arrival.Deadline;
  R.Expires = T.Expires;
  Runs.emplace(T.Sequence, R);
  return {RunAttempt{Arrival.Id, T.Sequence, R.Attempt}};
}

/// Spends the ticket without a run, so that "not run" stays true for copies of
/// the command that are still under way.
CommandActions CommandLedger::refuse(const CommandArrival &Arrival,
                                     const Ticket &T, CommandStatus Status,
                                     TimePoint Now) {
  if (!makeRoom(Now))
    return answerTo(Arrival.Id, plainAnswer(Status, RunState::Unknown));
  SpentTicket S;
  S.Fingerprint = Arrival.Fingerprint;
  S.Status = Status;
  S.State = RunState::NotRun;
  S.Expires = T.Expires;
  remember(T.Sequence, std::move(S));
  return answerTo(Arrival.Id,
                  withFreshTicket(plainAnswer(Status, RunState::NotRun), Now));
}

CommandActions CommandLedger::receivedForeign(const CommandArrival &Arrival,
                                              const Ticket &T, TimePoint Now) {
  const auto It = Predecessors.find(IncarnationKey(T.Issuer, T.Incarnation));
  if (It != Predecessors.end())
    return answerTo(
        Arrival.Id,
        withFreshTicket(answerAfterStop(It->second.Statement, Arrival, T, Now),
                        Now));
  if (Arrival.Forwarded || Forwards.size() >= MaxForwards)
    return unknownTo(Arrival.Id);
  const IssuerStanding Known = Standing(T);
  std::vector<std::string> Targets(Known.Successors.rbegin(),
                                   Known.Successors.rend());
  Targets.erase(std::remove(Targets.begin(), Targets.end(), Issuer.instance()),
                Targets.end());
  if (Known.Live)
    Targets.push_back(T.Issuer);
  if (Targets.empty())
    return unknownTo(Arrival.Id);
  ForwardCommand First{Arrival.Id, std::move(Targets.back())};
  Targets.pop_back();
  Forwards.emplace(Arrival.Id, Forward{std::move(Targets)});
  return {std::move(First)};
}

CommandAnswer CommandLedger::answerAfterStop(const HandoverStatement &Statement,
                                             const CommandArrival &Arrival,
                                             const Ticket &T,
                                             TimePoint Now) const {
  const auto It = Statement.Spent.find(T.Sequence);
  if (It != Statement.Spent.end())
    return answerFor(It->second, Arrival.Fingerprint, Now);
  if (T.Sequence < Statement.Floor)
    return plainAnswer(CommandStatus::TicketExpired, RunState::Unknown);
  return plainAnswer(CommandStatus::TicketRequired, RunState::NotRun);
}

CommandActions CommandLedger::attemptEnded(std::uint64_t Sequence,
                                           AttemptOutcome Outcome,
                                           std::string Body, TimePoint Now) {
  const auto It = Runs.find(Sequence);
  if (It == Runs.end())
    return {};
  switch (Outcome) {
  case AttemptOutcome::Answered:
    return finish(Sequence, CommandStatus::Answered, RunState::Ran,
                  std::move(Body), Now);
  case AttemptOutcome::Unknown:
    return finish(Sequence, CommandStatus::RunUnknown, RunState::Unknown, "",
                  Now);
  case AttemptOutcome::NotSent:
  case AttemptOutcome::RefusedUnrun:
    break;
  }
  Run &R = It->second;
  if (R.Deadline <= Now)
    return finish(Sequence, CommandStatus::Deadline, RunState::NotRun, "", Now);
  if (R.Attempt >= MaxAttempts)
    return noReplicaLeft(Sequence, Now);
  ++R.Attempt;
  return {RunAttempt{R.ArrivalId, Sequence, R.Attempt}};
}

CommandActions CommandLedger::noReplicaLeft(std::uint64_t Sequence,
                                            TimePoint Now) {
  if (!Runs.contains(Sequence))
    return {};
  return finish(Sequence, CommandStatus::NoReplica, RunState::NotRun, "", Now);
}

CommandActions CommandLedger::finish(std::uint64_t Sequence,
                                     CommandStatus Status, RunState State,
                                     std::string Body, TimePoint Now) {
  const auto It = Runs.find(Sequence);
  assert(It != Runs.end());
  const Run R = It->second;
  Runs.erase(It);
  SpentTicket S;
  S.Fingerprint = R.Fingerprint;
  S.Status = Status;
  S.State = State;
  S.Expires = R.Expires;
  if (Body.size() <= MaxBodyBytesEach && R.Expires > Now)
    S.Body = Body;
  remember(Sequence, std::move(S));
  CommandAnswer Answer = plainAnswer(Status, State);
  Answer.Body = std::move(Body);
  return answerTo(R.ArrivalId, withFreshTicket(std::move(Answer), Now));
}

CommandAnswer CommandLedger::withFreshTicket(CommandAnswer Answer,
                                             TimePoint Now) {
  const bool Useful = Answer.State == RunState::NotRun &&
                      Answer.Status != CommandStatus::TicketReused;
  if (Useful)
    Answer.FreshTicket = issueTicket(Now);
  return Answer;
}

CommandActions CommandLedger::forwardAnswered(std::uint64_t ArrivalId,
                                              CommandAnswer Answer,
                                              TimePoint Now) {
  // A successor that was not told answers "unknown"; another one may know.
  if (Answer.Status == CommandStatus::RunUnknown)
    return forwardFailed(ArrivalId);
  if (Forwards.erase(ArrivalId) == 0)
    return {};
  if (Answer.FreshTicket.empty())
    Answer = withFreshTicket(std::move(Answer), Now);
  return answerTo(ArrivalId, std::move(Answer));
}

CommandActions CommandLedger::forwardFailed(std::uint64_t ArrivalId) {
  const auto It = Forwards.find(ArrivalId);
  if (It == Forwards.end())
    return {};
  std::vector<std::string> &Untried = It->second.Untried;
  if (Untried.empty()) {
    Forwards.erase(It);
    return unknownTo(ArrivalId);
  }
  // Asking on is safe: a successor runs nothing, it only knows.
  ForwardCommand Next{ArrivalId, std::move(Untried.back())};
  Untried.pop_back();
  return {std::move(Next)};
}

void CommandLedger::remember(std::uint64_t Sequence, SpentTicket Ticket) {
  BodyBytes += Ticket.Body.size();
  // A run may outlive its ticket; then its body is not kept.
  if (Sequence < BodiesFrom) {
    BodyBytes -= Ticket.Body.size();
    Ticket.Body.clear();
  }
  Spent.emplace(Sequence, std::move(Ticket));
}

void CommandLedger::tick(TimePoint Now) {
  for (auto It = Spent.lower_bound(BodiesFrom);
       It != Spent.end() && It->second.Expires <= Now; ++It) {
    BodyBytes -= It->second.Body.size();
    std::string().swap(It->second.Body);
    BodiesFrom = It->first + 1;
  }
  for (auto It = Predecessors.begin(); It != Predecessors.end();) {
    if (It->second.ForgetAt <= Now)
      Predecessors.erase(It++);
    else
      ++It;
  }
}

/// Makes room for one more spent ticket by forgetting expired ones; running
/// commands count, since each becomes one.
bool CommandLedger::makeRoom(TimePoint Now) {
  if (Spent.size() + Runs.size() < MaxSpent)
    return true;
  const auto Oldest = Spent.begin();
  if (Oldest == Spent.end() || Oldest->second.Expires > Now)
    return false;
  Floor = std::max(Floor, Oldest->first + 1);
  BodyBytes -= Oldest->second.Body.size();
  Spent.erase(Oldest);
  return true;
}

bool CommandLedger::hasRoomToRun(TimePoint Now) {
  if (BodyBytes + Runs.size() * MaxBodyBytesEach >= MaxBodyBytes)
    return false;
  const std::size_t Unexpired = Spent.size() + Runs.size();
  if (Unexpired < MaxSpent - ReservedForRefusals)
    return true;
  const auto Oldest = Spent.begin();
  return Oldest != Spent.end() && Oldest->second.Expires <= Now &&
         makeRoom(Now);
}

void CommandLedger::drain() {
  Draining = true;
  Issuer.stop();
}

CommandActions CommandLedger::abandonRuns(TimePoint Now) {
  std::vector<std::uint64_t> Sequences;
  Sequences.reserve(Runs.size());
  for (const auto &[Sequence, R] : Runs)
    Sequences.push_back(Sequence);
  std::sort(Sequences.begin(), Sequences.end());
  CommandActions Actions;
  for (const std::uint64_t Sequence : Sequences)
    for (CommandAction &A : finish(Sequence, CommandStatus::RunUnknown,
                                   RunState::Unknown, "", Now))
      Actions.push_back(std::move(A));
  return Actions;
}

std::vector<HandoverStatement> CommandLedger::lastWords() const {
  assert(isDrained());
  std::vector<HandoverStatement> Words;
  Words.reserve(1 + Predecessors.size());
  HandoverStatement Own;
  Own.Instance = Issuer.instance();
  Own.Incarnation = Issuer.incarnation();
  Own.Floor = Floor;
  Own.Spent = Spent;
  Words.push_back(std::move(Own));
  for (const auto &[Key, Held] : Predecessors)
    Words.push_back(Held.Statement);
  return Words;
}

bool CommandLedger::takeOver(HandoverStatement Statement, TimePoint Now) {
  tick(Now);
  IncarnationKey Key(Statement.Instance, Statement.Incarnation);
  if (Predecessors.contains(Key))
    return true;
  if (Draining || Predecessors.size() >= MaxPredecessors)
    return false;
  Predecessor Held;
  Held.Statement = std::move(Statement);
  Held.ForgetAt = Now + absl::Seconds(TicketIssuer::LifetimeSeconds);
  Predecessors.emplace(std::move(Key), std::move(Held));
  return true;
}

} // namespace quetzallead
