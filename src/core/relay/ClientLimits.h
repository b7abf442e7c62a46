#ifndef QUETZALLEAD_CORE_RELAY_CLIENTLIMITS_H
#define QUETZALLEAD_CORE_RELAY_CLIENTLIMITS_H

#include "quetzallead/Time.h"
#include <cstddef>

namespace quetzallead {

/// Limits on the size and duration of callers' requests. The defaults apply
/// until the first sheet is in force.
struct ClientLimits {
  std::size_t MaxHeaderBytes = std::size_t{16} << 10;
  std::size_t MaxBodyBytes = std::size_t{1} << 20;
  /// Maximum time from the first byte of a request to the end of its header.
  Duration HeaderTimeout = absl::Seconds(3);
  /// Maximum time without a request, or without progress in a body.
  Duration IdleTimeout = absl::Seconds(15);
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_CLIENTLIMITS_H
