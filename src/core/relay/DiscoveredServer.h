#ifndef QUETZALLEAD_CORE_RELAY_DISCOVEREDSERVER_H
#define QUETZALLEAD_CORE_RELAY_DISCOVEREDSERVER_H

#include "quetzallead/Time.h"
#include <cstdint>
#include <string>
#include <tuple>

namespace quetzallead {

/// A backend server as registered in the discovery feed.
struct DiscoveredServer {
  /// Identifies the server; an address may be reused by another server.
  std::string Id;
  std::string Service;
  /// "ip:port".
  std::string Address;
  std::string Zone;
  /// Number of requests that the server runs concurrently.
  int Slots = 1;
  /// The server finishes the requests in progress and accepts no new ones.
  bool Draining = false;
  /// Remaining time of the warm-up after start, during which it is slow.
  Duration WarmUpLeft = absl::ZeroDuration();
  /// Start time in milliseconds of Unix time; 0 if unknown. Differs between
  /// incarnations under the same id.
  std::int64_t StartedAtMillis = 0;
  /// Time until which the server serves if it is leaving: the feed lacks it.
  /// Infinite if nothing is known of an end.
  TimePoint MayEndAt = absl::InfiniteFuture();
  /// It is an instance of this tier that forwarded requests go to.
  bool IsInstance = false;

  friend bool operator==(const DiscoveredServer &A, const DiscoveredServer &B) {
    return std::tie(A.Id, A.Service, A.Address, A.Zone, A.Slots, A.Draining,
                    A.WarmUpLeft, A.StartedAtMillis, A.MayEndAt,
                    A.IsInstance) ==
           std::tie(B.Id, B.Service, B.Address, B.Zone, B.Slots, B.Draining,
                    B.WarmUpLeft, B.StartedAtMillis, B.MayEndAt, B.IsInstance);
  }
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_DISCOVEREDSERVER_H
