#include "CommandWorld.h"

#include "absl/strings/str_cat.h"
#include "core/session/KeyRing.h"

namespace quetzallead {
namespace {

constexpr int InstanceCount = 4;

} // namespace

CommandWorld::CommandWorld(std::uint32_t Seed)
    : Engine(Seed), Keys(std::make_shared<const KeyRing>(*KeyRing::make(
                        {SigningKey{"k", std::string(32, 's')}}))) {
  for (int I = 0; I < InstanceCount; ++I)
    spawn(absl::StrCat("i", I));
}

std::size_t CommandWorld::pick(std::size_t Below) { return Engine() % Below; }

bool CommandWorld::chance(int Percent) {
  return static_cast<int>(pick(100)) < Percent;
}

std::size_t CommandWorld::spawn(const std::string &Name) {
  Process P;
  P.Name = Name;
  P.Incarnation = Processes.size() + 1;
  P.Ledger = std::make_unique<CommandLedger>(
      Name, P.Incarnation, Keys,
      [this](const Ticket &T) { return standingOf(T); });
  Processes.push_back(std::move(P));
  return Processes.size() - 1;
}

std::size_t CommandWorld::current(const std::string &Name) const {
  std::size_t Found = 0;
  for (std::size_t I = 0; I < Processes.size(); ++I)
    if (Processes[I].Name == Name)
      Found = I;
  return Found;
}

IssuerStanding CommandWorld::standingOf(const Ticket &T) {
  IssuerStanding Standing;
  // Views differ: one in ten is wrong about the issuer.
  Standing.Live = Processes[T.Incarnation - 1].Alive != chance(10);
  const auto It = Successors.find({T.Issuer, T.Incarnation});
  if (It != Successors.end())
    Standing.Successors = It->second;
  return Standing;
}

void CommandWorld::newCommand() {
  Command C;
  const std::size_t From = current(absl::StrCat("i", pick(InstanceCount)));
  C.Ticket = Processes[From].Ledger->issueTicket(Now);
  Commands.push_back(C);
}

void CommandWorld::step() {
  const std::size_t Draw = pick(100);
  if (Draw < 10)
    return newCommand();
  if (Draw < 35)
    return send();
  if (Draw < 36)
    return kill(pick(Processes.size()));
  if (Draw < 38)
    return pauseOrResume(pick(Processes.size()));
  if (Draw < 39)
    return drain(pick(Processes.size()));
  if (Draw < 41)
    return passTime();
  deliverSome();
}

void CommandWorld::send() {
  if (Commands.empty())
    return;
  Message M;
  M.What = Message::Kind::Send;
  M.Command = static_cast<int>(pick(Commands.size()));
  M.Ticket = Commands[M.Command].Ticket;
  M.To = chance(90) ? current(absl::StrCat("i", pick(InstanceCount)))
                    : pick(Processes.size());
  UnderWay.push_back(std::move(M));
}

void CommandWorld::kill(std::size_t At) {
  Processes[At].Alive = false;
  const std::string Name = Processes[At].Name;
  if (current(Name) == At)
    spawn(Name);
}

void CommandWorld::pauseOrResume(std::size_t At) {
  Processes[At].Paused = !Processes[At].Paused;
  const std::string Name = Processes[At].Name;
  // The platform may start a replacement for a paused process.
  if (Processes[At].Paused && current(Name) == At && chance(50))
    spawn(Name);
}

void CommandWorld::drain(std::size_t At) {
  if (!Processes[At].Alive || Processes[At].Paused)
    return;
  Processes[At].Ledger->drain();
  Processes[At].Draining = true;
  finishDrain(At);
}

void CommandWorld::passTime() {
  Now += absl::Seconds(pick(100));
  for (Process &P : Processes)
    P.Ledger->tick(Now);
}

void CommandWorld::deliverSome() {
  if (UnderWay.empty())
    return;
  const std::size_t At = pick(UnderWay.size());
  Message M = UnderWay[At];
  const bool IsAttempt = M.What == Message::Kind::Attempt;
  if (IsAttempt || chance(80))
    UnderWay.erase(UnderWay.begin() + static_cast<std::ptrdiff_t>(At));
  if (IsAttempt || chance(85))
    deliver(std::move(M));
}

void CommandWorld::settle() {
  Faults = false;
  for (Process &P : Processes)
    P.Paused = false;
  while (!UnderWay.empty()) {
    Message M = UnderWay.back();
    UnderWay.pop_back();
    deliver(std::move(M));
  }
}

void CommandWorld::deliver(Message M) {
  Process &P = Processes[M.To];
  if (!P.Alive) {
    if (M.What == Message::Kind::Forward && Processes[M.From].Alive)
      act(M.From, Processes[M.From].Ledger->forwardFailed(M.Arrival));
    // The backend server has it, whatever became of the sender.
    if (M.What == Message::Kind::Attempt && chance(50))
      attempt(M);
    return;
  }
  if (P.Paused) {
    UnderWay.push_back(std::move(M));
    return;
  }
  switch (M.What) {
  case Message::Kind::Send:
    return arrive(M, false);
  case Message::Kind::Forward:
    return arrive(M, true);
  case Message::Kind::ForwardReply:
    return act(M.To, P.Ledger->forwardAnswered(M.Arrival, M.Answer, Now));
  case Message::Kind::Attempt:
    return attempt(M);
  }
}

void CommandWorld::arrive(const Message &M, bool Forwarded) {
  Process &P = Processes[M.To];
  CommandArrival Arrival;
  Arrival.Id = NextArrival++;
  Arrival.TicketText = M.Ticket;
  Arrival.Fingerprint =
      fingerprintOf("session", "service", absl::StrCat(M.Command));
  Arrival.Deadline = Now + absl::Seconds(chance(10) ? 0 : 30);
  Arrival.Forwarded = Forwarded;
  P.Arrived[Arrival.Id] = {M.Command, M.Ticket};
  if (Forwarded)
    P.ToPeer[Arrival.Id] = {M.From, M.Arrival};
  act(M.To, P.Ledger->received(Arrival, Now));
}

void CommandWorld::attempt(const Message &M) {
  Process &P = Processes[M.To];
  AttemptOutcome Outcome = AttemptOutcome::Answered;
  const std::size_t Draw = pick(Faults ? 6 : 1);
  if (Draw == 1)
    Outcome = AttemptOutcome::NotSent;
  if (Draw == 2)
    Outcome = AttemptOutcome::RefusedUnrun;
  if (Draw == 3)
    Outcome = AttemptOutcome::Unknown;
  const bool Executed = Outcome == AttemptOutcome::Answered ||
                        (Outcome == AttemptOutcome::Unknown && chance(50));
  if (Executed) {
    ++Executions;
    ++Commands[M.Command].Executions;
    ++Tickets[M.Ticket].Executions;
  }
  if (!P.Alive)
    return;
  act(M.To, P.Ledger->attemptEnded(M.Sequence, Outcome, "reply", Now));
  finishDrain(M.To);
}

void CommandWorld::act(std::size_t At, const CommandActions &Actions) {
  for (const CommandAction &Action : Actions) {
    if (const auto *A = std::get_if<AnswerCommand>(&Action)) {
      answer(At, *A);
      continue;
    }
    Message M;
    M.What = Message::Kind::Attempt;
    M.To = At;
    if (const auto *Run = std::get_if<RunAttempt>(&Action)) {
      M.Arrival = Run->ArrivalId;
      M.Sequence = Run->Sequence;
    }
    if (const auto *Forward = std::get_if<ForwardCommand>(&Action)) {
      M.What = Message::Kind::Forward;
      M.Arrival = Forward->ArrivalId;
      M.From = At;
      M.To = current(Forward->Instance);
    }
    std::tie(M.Command, M.Ticket) = Processes[At].Arrived[M.Arrival];
    UnderWay.push_back(std::move(M));
  }
}

void CommandWorld::answer(std::size_t At, const AnswerCommand &A) {
  Process &P = Processes[At];
  if (const auto It = P.ToPeer.find(A.ArrivalId); It != P.ToPeer.end()) {
    Message Reply;
    Reply.What = Message::Kind::ForwardReply;
    Reply.To = It->second.first;
    Reply.Arrival = It->second.second;
    Reply.Answer = A.Answer;
    UnderWay.push_back(std::move(Reply));
    return;
  }
  const auto &[Number, TicketText] = P.Arrived[A.ArrivalId];
  ++Answers;
  Unknown += A.Answer.Status == CommandStatus::RunUnknown ||
             (A.Answer.Status == CommandStatus::TicketExpired &&
              A.Answer.State == RunState::Unknown);
  TicketRecord &Record = Tickets[TicketText];
  Record.SaidRan |= A.Answer.State == RunState::Ran;
  if (A.Answer.State != RunState::NotRun)
    return;
  Record.SaidNotRun |= !TicketText.empty();
  // The caller got this answer, or it was lost on the way. It heeds no answer
  // to a ticket that it has replaced already: two copies of one command may be
  // offered two fresh tickets.
  const bool Heeded = Commands[Number].Ticket == TicketText && chance(80);
  if (Heeded && !A.Answer.FreshTicket.empty())
    Commands[Number].Ticket = A.Answer.FreshTicket;
}

void CommandWorld::finishDrain(std::size_t At) {
  Process &P = Processes[At];
  if (!P.Draining || !P.Ledger->isDrained())
    return;
  std::vector<std::string> Names;
  for (int I = 0; I < InstanceCount; ++I) {
    const std::string Name = absl::StrCat("i", I);
    const std::size_t Peer = current(Name);
    if (Peer == At || !Processes[Peer].Alive || chance(20))
      continue;
    for (const HandoverStatement &Word : P.Ledger->lastWords())
      Processes[Peer].Ledger->takeOver(
          *decodeHandover(encodeHandover(Word, Now), Now), Now);
    Names.push_back(Name);
  }
  Successors[{P.Name, P.Incarnation}] = Names;
  // It may linger and be sent more, until it is killed.
  P.Draining = false;
  P.Alive = chance(50);
  const std::string Name = P.Name;
  if (current(Name) == At)
    spawn(Name);
}

std::vector<std::string> CommandWorld::violations() const {
  std::vector<std::string> Found;
  for (std::size_t I = 0; I < Commands.size(); ++I)
    if (Commands[I].Executions > 1)
      Found.push_back(absl::StrCat("command ", I, " ran twice"));
  for (const auto &[Text, Record] : Tickets) {
    if (Record.SaidNotRun && Record.Executions > 0)
      Found.push_back("said not run, but ran: " + Text);
    if (Record.SaidRan && Record.Executions != 1)
      Found.push_back("said ran, but did not: " + Text);
  }
  return Found;
}

} // namespace quetzallead
