#ifndef QUETZALLEAD_CORE_RELAY_WARMUP_H
#define QUETZALLEAD_CORE_RELAY_WARMUP_H

#include "core/relay/ServerLimit.h"
#include "quetzallead/Time.h"

namespace quetzallead {

/// What is known of whether a backend server is cold, and the requests that it
/// takes while it is.
///
/// Handles servers that crash if they get their usual load while cold: after a
/// start, after their zone was away, or at any other time. A server that may
/// have turned cold unnoticed counts as cold until it says that it is warm.
/// Without a cap nothing of this applies.
struct WarmUp {
  /// Requests per second that the server takes from all instances while cold; 0
  /// for no cap.
  double RatePerSecond = 0;
  /// Time until which the server has said that it is cold.
  TimePoint ColdUntil = absl::InfinitePast();
  /// It may have turned cold since it said that it was warm.
  bool Unconfirmed = false;
  /// This instance's use of the cap; without a limit while the server is warm.
  ServerLimit Cap;
};

inline bool isCold(const WarmUp &W, TimePoint Now) {
  return W.RatePerSecond > 0 && (W.Unconfirmed || Now < W.ColdUntil);
}

/// Sets the cap; 0 for none.
void setWarmUpRate(WarmUp &W, double RatePerSecond, TimePoint Now);
/// The server has said that it stays cold for \p Left; it is warm if that is
/// not positive.
void noteWarmUpLeft(WarmUp &W, Duration Left, TimePoint Now);
/// The server may have turned cold: it was out of reach, or got no requests.
void noteMayBeCold(WarmUp &W, TimePoint Now);

/// The most instances among which a cap of \p RatePerSecond is divided.
int maxColdSharers(double RatePerSecond);

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_WARMUP_H
