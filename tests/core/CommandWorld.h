#ifndef QUETZALLEAD_TESTS_CORE_COMMANDWORLD_H
#define QUETZALLEAD_TESTS_CORE_COMMANDWORLD_H

#include "core/command/CommandLedger.h"
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace quetzallead {

/// A few instances that run commands under a random schedule: messages are
/// delivered in any order, lost or doubled; instances are killed, replaced,
/// paused and resumed, and stopped as planned.
class CommandWorld {
public:
  explicit CommandWorld(std::uint32_t Seed);
  /// Takes one random step.
  void step();
  /// Delivers what is under way, without further faults.
  void settle();

  /// The promises that were broken; empty if none.
  std::vector<std::string> violations() const;

  int Answers = 0;
  int Unknown = 0;
  int Executions = 0;

private:
  struct Process {
    std::string Name;
    std::uint64_t Incarnation = 0;
    std::unique_ptr<CommandLedger> Ledger;
    bool Alive = true;
    bool Paused = false;
    bool Draining = false;
    /// Arrivals that came from a peer: whom to answer.
    std::map<std::uint64_t, std::pair<std::size_t, std::uint64_t>> ToPeer;
    /// Command and ticket of each arrival.
    std::map<std::uint64_t, std::pair<int, std::string>> Arrived;
  };
  struct Message {
    enum class Kind { Send, Forward, ForwardReply, Attempt };
    Kind What = Kind::Send;
    std::size_t To = 0;
    std::size_t From = 0;
    std::uint64_t Arrival = 0;
    std::uint64_t Sequence = 0;
    int Command = 0;
    std::string Ticket;
    CommandAnswer Answer;
  };
  struct Command {
    std::string Ticket;
    int Executions = 0;
  };
  struct TicketRecord {
    int Executions = 0;
    bool SaidNotRun = false;
    bool SaidRan = false;
  };

  std::size_t pick(std::size_t Below);
  bool chance(int Percent);
  std::size_t spawn(const std::string &Name);
  std::size_t current(const std::string &Name) const;
  IssuerStanding standingOf(const Ticket &T);
  void send();
  void kill(std::size_t At);
  void pauseOrResume(std::size_t At);
  void drain(std::size_t At);
  void passTime();
  void deliverSome();
  void deliver(Message M);
  void arrive(const Message &M, bool Forwarded);
  void attempt(const Message &M);
  void act(std::size_t At, const CommandActions &Actions);
  void answer(std::size_t At, const AnswerCommand &A);
  void finishDrain(std::size_t At);
  void newCommand();

  std::mt19937 Engine;
  TimePoint Now = absl::FromUnixSeconds(1'700'000'000);
  std::shared_ptr<const KeyRing> Keys;
  std::deque<Process> Processes;
  std::vector<Message> UnderWay;
  std::vector<Command> Commands;
  std::map<std::string, TicketRecord> Tickets;
  std::map<std::pair<std::string, std::uint64_t>, std::vector<std::string>>
      Successors;
  std::uint64_t NextArrival = 1;
  bool Faults = true;
};

} // namespace quetzallead

#endif // QUETZALLEAD_TESTS_CORE_COMMANDWORLD_H
