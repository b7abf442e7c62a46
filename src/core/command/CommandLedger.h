#ifndef QUETZALLEAD_CORE_COMMAND_COMMANDLEDGER_H
#define QUETZALLEAD_CORE_COMMAND_COMMANDLEDGER_H

#include "absl/container/btree_map.h"
#include "absl/container/flat_hash_map.h"
#include "core/command/AttemptOutcome.h"
#include "core/command/CommandAction.h"
#include "core/command/CommandArrival.h"
#include "core/command/HandoverStatement.h"
#include "core/command/IssuerStanding.h"
#include "core/command/SpentTicket.h"
#include "core/command/TicketIssuer.h"
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace quetzallead {

class KeyRing;

/// Runs each command at most once over all instances, whatever is re-sent,
/// lost, paused, killed or cut off.
///
/// A command comes with a ticket. Only the incarnation that issued the ticket
/// runs it, once; every other instance forwards the command to it or, once it
/// stopped as planned, to one of the successors that hold its last word. If
/// neither can be asked the answer is "unknown", and nothing is run.
///
/// Not thread-safe but for issueTicket().
class CommandLedger {
public:
  /// What membership knows of the incarnation that issued a foreign ticket.
  using StandingOf = std::function<IssuerStanding(const Ticket &)>;

  /// Spent tickets remembered; above it no command is run.
  static constexpr std::size_t MaxSpent = 50'000;
  /// Room within MaxSpent for tickets that are spent by a refusal.
  static constexpr std::size_t ReservedForRefusals = 10'000;
  /// Bytes of remembered replies; above it no command is run.
  static constexpr std::size_t MaxBodyBytes = std::size_t{8} << 20;
  /// A longer reply is given once and remembered without its body, bytes.
  static constexpr std::size_t MaxBodyBytesEach = std::size_t{64} << 10;
  /// Attempts of one command, all but the last known not to have run.
  static constexpr int MaxAttempts = 3;
  /// Last words of other incarnations held.
  static constexpr std::size_t MaxPredecessors = 64;
  /// Commands forwarded and not yet answered.
  static constexpr std::size_t MaxForwards = 10'000;

  CommandLedger(std::string Instance, std::uint64_t Incarnation,
                std::shared_ptr<const KeyRing> Keys, StandingOf Standing);

  /// Follows a rotation of the keys.
  void replaceKeys(std::shared_ptr<const KeyRing> Ring) {
    Keys = std::move(Ring);
  }

  /// A ticket to offer to a caller; empty while draining. Any thread.
  std::string issueTicket(TimePoint Now);

  CommandActions received(const CommandArrival &Arrival, TimePoint Now);

  /// An attempt of the run \p Sequence ended. \p Body is the reply if Answered.
  CommandActions attemptEnded(std::uint64_t Sequence, AttemptOutcome Outcome,
                              std::string Body, TimePoint Now);
  /// There is no replica left to send the run \p Sequence to.
  CommandActions noReplicaLeft(std::uint64_t Sequence, TimePoint Now);

  CommandActions forwardAnswered(std::uint64_t ArrivalId, CommandAnswer Answer,
                                 TimePoint Now);
  /// The forward did not reach its peer, or the peer's answer was lost.
  CommandActions forwardFailed(std::uint64_t ArrivalId);

  /// Forgets what has expired; to be called about once a second.
  void tick(TimePoint Now);

  /// Begins a planned stop: no ticket is issued and no command begun any more.
  void drain();
  /// True once draining and no command runs: lastWord() is final.
  bool isDrained() const { return Draining && Runs.empty(); }
  /// Gives up on commands still running: their outcome is unknown.
  CommandActions abandonRuns(TimePoint Now);
  /// This incarnation's last word, and those it holds for others, to be sent
  /// to the successors. Requires isDrained().
  std::vector<HandoverStatement> lastWords() const;
  /// Holds \p Statement for its incarnation. False if there is no room: the
  /// sender has to find another successor.
  bool takeOver(HandoverStatement Statement, TimePoint Now);

  std::size_t spentTickets() const { return Spent.size(); }
  std::size_t runningCommands() const { return Runs.size(); }
  std::size_t bodyBytes() const { return BodyBytes; }

private:
  struct Run {
    std::uint64_t ArrivalId = 0;
    CommandFingerprint Fingerprint;
    TimePoint Deadline;
    TimePoint Expires;
    int Attempt = 1;
  };
  struct Forward {
    /// Successors that were not asked yet, the next one last.
    std::vector<std::string> Untried;
  };
  struct Predecessor {
    HandoverStatement Statement;
    /// All its tickets have expired by then.
    TimePoint ForgetAt;
  };
  using IncarnationKey = std::pair<std::string, std::uint64_t>;

  CommandActions receivedOwn(const CommandArrival &Arrival, const Ticket &T,
                             TimePoint Now);
  CommandActions receivedForeign(const CommandArrival &Arrival, const Ticket &T,
                                 TimePoint Now);
  CommandActions begin(const CommandArrival &Arrival, const Ticket &T);
  CommandActions refuse(const CommandArrival &Arrival, const Ticket &T,
                        CommandStatus Status, TimePoint Now);
  CommandActions finish(std::uint64_t Sequence, CommandStatus Status,
                        RunState State, std::string Body, TimePoint Now);
  CommandAnswer withFreshTicket(CommandAnswer Answer, TimePoint Now);
  CommandAnswer answerAfterStop(const HandoverStatement &Statement,
                                const CommandArrival &Arrival, const Ticket &T,
                                TimePoint Now) const;
  void remember(std::uint64_t Sequence, SpentTicket Ticket);
  bool makeRoom(TimePoint Now);
  bool hasRoomToRun(TimePoint Now);

  std::shared_ptr<const KeyRing> Keys;
  StandingOf Standing;
  TicketIssuer Issuer;
  bool Draining = false;
  /// Greatest time seen: what had expired once stays expired.
  TimePoint Latest = absl::InfinitePast();
  absl::flat_hash_map<std::uint64_t, Run> Runs;
  /// By sequence, which is also the order of expiry.
  absl::btree_map<std::uint64_t, SpentTicket> Spent;
  std::size_t BodyBytes = 0;
  /// Bodies below this sequence are dropped.
  std::uint64_t BodiesFrom = 0;
  /// Spent tickets below this sequence are forgotten; all are expired.
  std::uint64_t Floor = 0;
  absl::flat_hash_map<std::uint64_t, Forward> Forwards;
  absl::flat_hash_map<IncarnationKey, Predecessor> Predecessors;
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_COMMAND_COMMANDLEDGER_H
