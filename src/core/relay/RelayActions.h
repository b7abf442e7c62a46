#ifndef QUETZALLEAD_CORE_RELAY_RELAYACTIONS_H
#define QUETZALLEAD_CORE_RELAY_RELAYACTIONS_H

#include "core/relay/BackendPool.h"
#include "core/relay/RelayResult.h"
#include "quetzallead/AttemptCause.h"
#include <cstddef>
#include <variant>
#include <vector>

namespace quetzallead {

/// Send attempt \p Attempt to \p Server.
struct SendRelayAttempt {
  std::size_t Attempt = 0;
  ServerRef Server;
  /// Time that the server has for the attempt.
  Duration TimeLeft;
  AttemptCause Cause = AttemptCause::First;
};

/// Cancel an attempt by closing its connection; onEnd() must still be called
/// for it.
struct CancelRelayAttempt {
  std::size_t Attempt = 0;
};

/// Answer the caller. Attempts in flight continue, and onEnd() must be called
/// for each.
struct RespondToCaller {
  RelayResult Result;
};

/// Ask the instance that holds back an attempt of each part for them.
struct ClaimAttempts {};

/// Give the attempts that were held back to the home of attempt \p Attempt.
struct GrantAttempts {
  std::size_t Attempt = 0;
};

using RelayAction = std::variant<SendRelayAttempt, CancelRelayAttempt,
                                 RespondToCaller, ClaimAttempts, GrantAttempts>;
using RelayActions = std::vector<RelayAction>;

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_RELAYACTIONS_H
