#ifndef QUETZALLEAD_CORE_RELAY_POOLSERVER_H
#define QUETZALLEAD_CORE_RELAY_POOLSERVER_H

#include "core/relay/DiscoveredServer.h"
#include "core/relay/OutcomeRate.h"
#include "core/relay/ServerLimit.h"
#include "core/relay/ServerPause.h"
#include "core/relay/WarmUp.h"
#include "quetzallead/LoadReport.h"
#include "quetzallead/Time.h"
#include <vector>

namespace quetzallead {

/// An attempt that the server has not answered yet.
struct PendingAttempt {
  TimePoint Sent;
  /// Time from which the attempt counts as overdue.
  TimePoint Overdue;
  /// AttemptPermitRequest::Suspected.
  bool Suspected = false;
};

/// State of one backend server as observed by this instance; maintained by
/// BackendPool.
struct PoolServer {
  DiscoveredServer Info;
  /// False once the feed or the server itself reports that it has gone or is
  /// draining.
  bool AcceptsAttempts = true;
  /// The operator wants its zone to get no requests.
  bool Evacuated = false;
  /// End of the warm-up period that the server announced.
  TimePoint WarmUpEndsAt = absl::InfinitePast();
  /// Attempts in flight, oldest first.
  std::vector<PendingAttempt> Pending;
  /// Response time as a multiple of a typical server's, at SlownessAt.
  double Slowness = 1;
  TimePoint SlownessAt = absl::InfinitePast();
  /// Consecutive slow responses.
  int SlowStreak = 0;
  LoadReport Reported;
  TimePoint ReportedAt = absl::InfinitePast();
  /// Attempts that ended without a valid response.
  OutcomeRate Losses;
  /// Attempts that the server turned away.
  OutcomeRate Sheds;
  /// Connection failures, timeouts and lost or malformed responses since the
  /// last valid response.
  int Failures = 0;
  /// Until this time the server is ejected: it gets attempts only as a last
  /// resort.
  TimePoint EjectedUntil = absl::InfinitePast();
  ServerPause Pause;
  ServerLimit Limit;
  WarmUp Warm;
  /// Set when no connection can be established, or a request was not answered
  /// in time; cleared once a connection is established or a response arrives.
  bool Unreachable = false;
  /// When Unreachable was set last.
  TimePoint UnreachableSince = absl::InfinitePast();
  /// No connection could be established, or this instance has lost all servers.
  /// Implies Unreachable.
  bool OutOfReach = false;
  /// When this instance lost all servers last.
  TimePoint LostAt = absl::InfinitePast();
  /// For an instance: it passes back requests that the asking instance would
  /// repeat although its own route does not let a second home have them.
  bool ChecksRepeats = false;
  /// Open connections without a request.
  int IdleConnections = 0;

  /// Whether it may get attempts, as far as the feed, the server itself and the
  /// operator say.
  bool takesAttempts() const { return AcceptsAttempts && !Evacuated; }
  int inFlight() const { return static_cast<int>(Pending.size()); }
  /// Whether an attempt has become overdue after \p Since.
  bool becameOverdue(TimePoint Since, TimePoint Now) const {
    for (const PendingAttempt &P : Pending)
      if (P.Overdue > Since && P.Overdue <= Now)
        return true;
    return false;
  }
  bool overdue(TimePoint Now) const {
    for (const PendingAttempt &P : Pending)
      if (P.Overdue <= Now)
        return true;
    return false;
  }
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_POOLSERVER_H
