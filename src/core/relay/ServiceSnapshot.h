#ifndef QUETZALLEAD_CORE_RELAY_SERVICESNAPSHOT_H
#define QUETZALLEAD_CORE_RELAY_SERVICESNAPSHOT_H

#include "core/relay/ServerState.h"
#include <array>
#include <cstddef>

namespace quetzallead {

/// State of one service as observed by one instance at one point in time.
struct ServiceSnapshot {
  /// Number of backend servers by ServerState.
  std::array<std::size_t, ServerStateCount> Servers{};
  /// Backend servers that name a limit.
  std::size_t Limited = 0;
  /// Backend servers that are cold and have a cap.
  std::size_t Cold = 0;
  std::size_t Queued = 0;
  /// Attempts that a full queue has given up for others.
  std::size_t Displaced = 0;
  std::size_t InFlight = 0;
  std::size_t IdleConnections = 0;
  /// Maximum number of connections of this instance to each server.
  int ConnectionShare = 0;
  /// Attempts beyond the first that the budget allows now.
  double ExtraAttempts = 0;
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_SERVICESNAPSHOT_H
