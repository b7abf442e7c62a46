#ifndef QUETZALLEAD_CORE_COMMAND_COMMANDACTION_H
#define QUETZALLEAD_CORE_COMMAND_COMMANDACTION_H

#include "core/command/CommandAnswer.h"
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace quetzallead {

/// Send the command of \c ArrivalId to a replica that it was not yet sent to,
/// and report attemptEnded() or noReplicaLeft() exactly once.
struct RunAttempt {
  std::uint64_t ArrivalId = 0;
  /// The spent ticket; names the run in later events.
  std::uint64_t Sequence = 0;
  /// 1 for the first attempt.
  int Attempt = 1;
};

/// Give this answer to the arrival; it is done.
struct AnswerCommand {
  std::uint64_t ArrivalId = 0;
  CommandAnswer Answer;
};

/// Send the arrival to a peer, marked as forwarded, and report
/// forwardAnswered() or forwardFailed() exactly once.
struct ForwardCommand {
  std::uint64_t ArrivalId = 0;
  std::string Instance;
};

using CommandAction = std::variant<RunAttempt, AnswerCommand, ForwardCommand>;
using CommandActions = std::vector<CommandAction>;

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_COMMAND_COMMANDACTION_H
