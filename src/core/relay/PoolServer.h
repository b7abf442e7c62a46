#ifndef QUETZALLEAD_CORE_RELAY_POOLSERVER_H
#define QUETZALLEAD_CORE_RELAY_POOLSERVER_H

#include "core/relay/DiscoveredServer.h"
#include "quetzallead/LoadReport.h"
#include "quetzallead/Time.h"
#include <vector>

namespace quetzallead {

/// One attempt that a server has not answered yet.
struct PendingAttempt {
  TimePoint Sent;
  /// When it counts as overdue.
  TimePoint Overdue;
};

/// What one instance believes of one backend server; kept by BackendPool.
struct PoolServer {
  DiscoveredServer Info;
  /// False once the feed or the server itself says that it is gone.
  bool Present = true;
  /// When the warm-up that the server announced ends.
  TimePoint WarmAt = absl::InfinitePast();
  /// Attempts in flight, oldest first.
  std::vector<PendingAttempt> Pending;
  /// Time to an answer as a multiple of an ordinary server's.
  double Slowness = 1;
  TimePoint SlownessAt = absl::InfinitePast();
  /// Slow answers since the last ordinary one.
  int SlowStreak = 0;
  LoadReport Reported;
  TimePoint ReportedAt = absl::InfinitePast();
  /// Share of the attempts that ended without a usable answer after they were
  /// sent; fades.
  double LossRate = 0;
  TimePoint LossRateAt = absl::InfinitePast();
  /// Connection failures and broken answers since the last good one.
  int Failures = 0;
  /// Nothing is sent before this time while others are there.
  TimePoint RestUntil = absl::InfinitePast();
  /// No connection could be set up; cleared once one is.
  bool Unreachable = false;
  /// Open connections that wait for a request.
  int IdleConnections = 0;

  int inFlight() const { return static_cast<int>(Pending.size()); }
  bool overdue(TimePoint Now) const {
    for (const PendingAttempt &P : Pending)
      if (P.Overdue <= Now)
        return true;
    return false;
  }
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_POOLSERVER_H
