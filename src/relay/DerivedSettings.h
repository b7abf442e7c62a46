#ifndef QUETZALLEAD_RELAY_DERIVEDSETTINGS_H
#define QUETZALLEAD_RELAY_DERIVEDSETTINGS_H

#include "core/relay/RelayState.h"
#include "core/relay/ServerFeed.h"
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

/// How long servers that the store lacks stay in use. A server that vanished
/// while the store was healthy is kept so that the last request reaches it
/// while it still serves, that is within Settings.LeavingTime.
ServerFeedOptions serverFeedOptions(const RelaySettings &S);

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_DERIVEDSETTINGS_H
