#ifndef QUETZALLEAD_DAEMON_DAEMON_H
#define QUETZALLEAD_DAEMON_DAEMON_H

#include "quetzallead/Error.h"
#include <memory>

namespace quetzallead {

struct Secrets;
struct Settings;

/// One running instance: all its parts, from start to planned stop.
class Daemon {
public:
  /// Starts listening. Fails with Unavailable if an address cannot be bound.
  static Result<std::unique_ptr<Daemon>> make(Settings S, const Secrets &Keys);
  virtual ~Daemon() = default;

  /// Stops as planned: leaves the instance list, refuses new requests unrun,
  /// lets all in flight finish within the grace of the settings. Blocks.
  virtual void stop() = 0;
};

} // namespace quetzallead

#endif // QUETZALLEAD_DAEMON_DAEMON_H
