#ifndef QUETZALLEAD_CORE_RELAY_SERVICESNAPSHOT_H
#define QUETZALLEAD_CORE_RELAY_SERVICESNAPSHOT_H

#include "core/relay/ServerStanding.h"
#include <array>
#include <cstddef>

namespace quetzallead {

/// One service as one instance sees it at one moment.
struct ServiceSnapshot {
  /// Backend servers by standing.
  std::array<std::size_t, ServerStandingCount> Servers{};
  std::size_t Queued = 0;
  std::size_t InFlight = 0;
  std::size_t IdleConnections = 0;
  /// Connections to each server that the instance may hold.
  int ConnectionShare = 0;
  /// Attempts beyond the first that may be sent now.
  double ExtraAttempts = 0;
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_SERVICESNAPSHOT_H
