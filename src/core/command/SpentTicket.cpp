#include "core/command/SpentTicket.h"

namespace quetzallead {

CommandAnswer answerFor(const SpentTicket &Spent,
                        const CommandFingerprint &Fingerprint, TimePoint Now) {
  CommandAnswer Answer;
  if (!(Spent.Fingerprint == Fingerprint)) {
    Answer.Status = CommandStatus::TicketReused;
    Answer.State = RunState::NotRun;
    return Answer;
  }
  const bool Expired = Spent.Expires <= Now;
  Answer.Status = Expired ? CommandStatus::TicketExpired : Spent.Status;
  Answer.State = Spent.State;
  if (!Expired)
    Answer.Body = Spent.Body;
  return Answer;
}

} // namespace quetzallead
