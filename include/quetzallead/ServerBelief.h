#ifndef QUETZALLEAD_SERVERBELIEF_H
#define QUETZALLEAD_SERVERBELIEF_H

#include "quetzallead/HeldVersions.h"
#include "quetzallead/LoadReport.h"
#include "quetzallead/NameTable.h"
#include "quetzallead/Time.h"

namespace quetzallead {

/// Why a backend server is believed to be leaving.
enum class LeavingCause { None, Sheet, InstanceList, DrainReply, Peer };

inline constexpr NamedValue<LeavingCause> LeavingCauseNames[] = {
    {LeavingCause::None, "none"},
    {LeavingCause::Sheet, "sheet"},
    {LeavingCause::InstanceList, "instance_list"},
    {LeavingCause::DrainReply, "drain_reply"},
    {LeavingCause::Peer, "peer"},
};

/// What one instance believes of one backend server, from the outcomes of its
/// own attempts first and from reports second.
struct ServerBelief {
  /// Own attempts in flight.
  int Outstanding = 0;
  /// Attempts this instance lets be in flight; adapts between 1 and the
  /// instance's share of the server's connections.
  double Limit = 1;
  /// Smoothed time from sending to reply; zero before the first.
  Duration Latency = absl::ZeroDuration();
  /// Least latency lately seen; zero before the first.
  Duration BestLatency = absl::ZeroDuration();
  TimePoint LatencyAt = absl::InfinitePast();
  LoadReport Reported;
  TimePoint ReportedAt = absl::InfinitePast();
  HeldVersions Held;
  /// When the last answer came.
  TimePoint AnsweredAt = absl::InfinitePast();
  /// When an attempt last failed.
  TimePoint FailedAt = absl::InfinitePast();
  /// Failures since the last answer.
  int ConsecutiveFailures = 0;
  /// No attempt before this time, unless no other replica is left.
  TimePoint EjectedUntil = absl::InfinitePast();
  /// No attempt, unless no other replica is left, until a probe is answered.
  bool NeedsProbe = false;
  /// Overloaded until about this time.
  TimePoint ShedUntil = absl::InfinitePast();
  LeavingCause Leaving = LeavingCause::None;
  TimePoint LeavingSince = absl::InfinitePast();
  /// A newly seen or returned server gets one attempt at a time until then.
  TimePoint RampUntil = absl::InfinitePast();
  /// Connections believed to be open and idle or in use.
  int WarmConnections = 0;
};

} // namespace quetzallead

#endif // QUETZALLEAD_SERVERBELIEF_H
