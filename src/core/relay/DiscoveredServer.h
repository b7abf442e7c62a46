#ifndef QUETZALLEAD_CORE_RELAY_DISCOVEREDSERVER_H
#define QUETZALLEAD_CORE_RELAY_DISCOVEREDSERVER_H

#include "quetzallead/Time.h"
#include <cstdint>
#include <string>

namespace quetzallead {

/// A backend server as it announces itself.
struct DiscoveredServer {
  /// Names one lifetime; an address may pass to another server.
  std::string Id;
  std::string Service;
  /// "ip:port".
  std::string Address;
  std::string Zone;
  /// Requests that it runs at the same time.
  int Slots = 1;
  /// It finishes what it has and takes nothing new.
  bool Draining = false;
  /// How much longer it is slow after its start.
  Duration WarmUpLeft = absl::ZeroDuration();
  /// When it started, in milliseconds of Unix time; 0 if unknown. A server
  /// that starts again under its id has another value.
  std::int64_t StartedAtMillis = 0;
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_DISCOVEREDSERVER_H
