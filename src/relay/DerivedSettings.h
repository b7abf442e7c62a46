#ifndef QUETZALLEAD_RELAY_DERIVEDSETTINGS_H
#define QUETZALLEAD_RELAY_DERIVEDSETTINGS_H

#include "core/relay/RelayState.h"
#include "relay/RelaySettings.h"
#include <cstddef>

namespace quetzallead {

/// Delay between a batch of server changes and the next watch. A server's start
/// or stop makes several changes, and each change wakes every instance.
inline constexpr Duration ServerBatchDelay = absl::Milliseconds(1000);

std::size_t memoryBytes(const RelaySettings &S);

RelayStateOptions stateOptions(const RelaySettings &S);

/// How long the store may be silent before what is followed there is read
/// again. A server whose leaving is missed must not get requests after
/// Settings.LeavingTime.
Duration maxStoreSilence(const RelaySettings &S);

/// How long a server that vanished from the store while the store was healthy
/// may still return. Limited so that the last request reaches the server while
/// it still serves, that is within Settings.LeavingTime.
Duration vanishedServerReturnTime(const RelaySettings &S);

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_DERIVEDSETTINGS_H
