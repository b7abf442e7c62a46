#ifndef QUETZALLEAD_CORE_RELAY_SERVERLIMIT_H
#define QUETZALLEAD_CORE_RELAY_SERVERLIMIT_H

#include "quetzallead/Time.h"
#include <limits>

namespace quetzallead {

/// The part of a server's limit that one instance may use.
struct LimitShare {
  /// Fraction of the rate, 0 to 1. An instance with 0 sends nothing to a server
  /// that names a limit.
  double Fraction = 1;
  /// Number of instances that have a share.
  int Sharers = 1;
};

/// Requests per second that a backend server takes from all instances together,
/// as named in its responses, and what this instance has left of its share.
///
/// Handles servers that can take less than their callers send: each instance
/// keeps to its share without asking the others. A share is a token bucket, so
/// that a short burst passes.
struct ServerLimit {
  /// Infinite if the server names no limit.
  double PerSecond = std::numeric_limits<double>::infinity();
  /// Requests that all shares together may save up, in seconds of the limit.
  double BurstSeconds = 1;
  /// Time of the last response that named the limit.
  TimePoint NamedAt = absl::InfinitePast();
  /// Requests that this instance may send, at CountedAt; may be a fraction.
  double Tokens = 0;
  TimePoint CountedAt = absl::InfinitePast();
};

/// Bounds of a limit, in requests per second. A server that takes none is asked
/// now and then, since only its responses tell when that ends.
inline constexpr double MinServerLimit = 0.5;
inline constexpr double MaxServerLimit = 1e6;

/// The most instances among which \p PerSecond is divided: each one may send a
/// request at any time.
int maxLimitSharers(double PerSecond);

inline bool isLimited(const ServerLimit &Limit) {
  return Limit.PerSecond != std::numeric_limits<double>::infinity();
}

/// Records a response that names \p PerSecond requests per second, which must
/// be finite. Returns true if the limit is new or has changed.
bool nameLimit(ServerLimit &Limit, double PerSecond, const LimitShare &Share,
               TimePoint Now);
/// Records a response that names no limit. Returns true if that ends one.
bool omitLimit(ServerLimit &Limit, TimePoint Now);

/// Requests that may be sent at \p Now; may be a fraction.
double limitTokens(const ServerLimit &Limit, const LimitShare &Share,
                   TimePoint Now);
/// Requests per second that the share allows.
inline double limitRate(const ServerLimit &Limit, const LimitShare &Share) {
  return Limit.PerSecond * Share.Fraction;
}
/// Time until a request may be sent; infinite if the share is 0.
Duration limitWait(const ServerLimit &Limit, const LimitShare &Share,
                   TimePoint Now);
/// Counts a request sent at \p Now.
void spendLimit(ServerLimit &Limit, const LimitShare &Share, TimePoint Now);

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_SERVERLIMIT_H
