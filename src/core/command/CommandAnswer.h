#ifndef QUETZALLEAD_CORE_COMMAND_COMMANDANSWER_H
#define QUETZALLEAD_CORE_COMMAND_COMMANDANSWER_H

#include "quetzallead/NameTable.h"
#include "quetzallead/RunState.h"
#include <string>

namespace quetzallead {

/// What became of a command, as its caller is told.
enum class CommandStatus {
  Answered,       ///< A backend server ran it; the body is its reply.
  InProgress,     ///< The same command is being run; ask again.
  TicketReused,   ///< The ticket was spent on another command.
  TicketRequired, ///< It came without a ticket that could ever be good.
  TicketExpired,  ///< Too late; the run state is what is still known.
  Overloaded,     ///< The issuer cannot remember another outcome now.
  Draining,       ///< The issuer is stopping.
  NoReplica,      ///< No backend server took it.
  Deadline,       ///< The time was up before a backend server took it.
  RunUnknown,     ///< It may have run; it will not be repeated.
};

inline constexpr NamedValue<CommandStatus> CommandStatusNames[] = {
    {CommandStatus::Answered, "answered"},
    {CommandStatus::InProgress, "in_progress"},
    {CommandStatus::TicketReused, "ticket_reused"},
    {CommandStatus::TicketRequired, "ticket_required"},
    {CommandStatus::TicketExpired, "ticket_expired"},
    {CommandStatus::Overloaded, "overloaded"},
    {CommandStatus::Draining, "draining"},
    {CommandStatus::NoReplica, "no_replica"},
    {CommandStatus::Deadline, "deadline"},
    {CommandStatus::RunUnknown, "run_unknown"},
};

/// The answer to one command.
struct CommandAnswer {
  CommandStatus Status = CommandStatus::RunUnknown;
  /// What is known of the command under this ticket. NotRun holds for ever: a
  /// copy of it that is still under way will not run either.
  RunState State = RunState::Unknown;
  /// The reply of the backend server, if Answered; empty if it was too large to
  /// be remembered and is asked for again.
  std::string Body;
  /// A ticket to come back with, on answers that are NotRun; may be empty.
  std::string FreshTicket;
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_COMMAND_COMMANDANSWER_H
