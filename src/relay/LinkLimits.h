#ifndef QUETZALLEAD_RELAY_LINKLIMITS_H
#define QUETZALLEAD_RELAY_LINKLIMITS_H

#include "core/relay/ClientLimits.h"

namespace quetzallead {

/// Limits of requests between instances, which carry callers' requests under
/// \p OfCallers and some more.
ClientLimits linkLimits(const ClientLimits &OfCallers);

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_LINKLIMITS_H
