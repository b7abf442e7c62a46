#ifndef QUETZALLEAD_CORE_COMMAND_COMMANDARRIVAL_H
#define QUETZALLEAD_CORE_COMMAND_COMMANDARRIVAL_H

#include "core/command/CommandFingerprint.h"
#include "quetzallead/Time.h"
#include <cstdint>
#include <string>

namespace quetzallead {

/// One arrival of a command at this instance, from a caller or from a peer.
struct CommandArrival {
  /// Chosen by the host; names this arrival in actions and later events.
  std::uint64_t Id = 0;
  /// The Idempotency-Key as it came; empty if there was none.
  std::string TicketText;
  CommandFingerprint Fingerprint;
  /// No attempt is begun after this time.
  TimePoint Deadline;
  /// True if a peer forwarded it; then it is not forwarded again.
  bool Forwarded = false;
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_COMMAND_COMMANDARRIVAL_H
