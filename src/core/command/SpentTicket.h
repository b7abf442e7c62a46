#ifndef QUETZALLEAD_CORE_COMMAND_SPENTTICKET_H
#define QUETZALLEAD_CORE_COMMAND_SPENTTICKET_H

#include "core/command/CommandAnswer.h"
#include "core/command/CommandFingerprint.h"
#include "quetzallead/Time.h"
#include <string>

namespace quetzallead {

/// What is remembered of a ticket that no command can run under any more.
struct SpentTicket {
  CommandFingerprint Fingerprint;
  CommandStatus Status = CommandStatus::RunUnknown;
  RunState State = RunState::Unknown;
  /// Kept until Expires.
  std::string Body;
  TimePoint Expires;
};

/// The answer to a command that comes with the spent ticket \p Spent.
CommandAnswer answerFor(const SpentTicket &Spent,
                        const CommandFingerprint &Fingerprint, TimePoint Now);

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_COMMAND_SPENTTICKET_H
