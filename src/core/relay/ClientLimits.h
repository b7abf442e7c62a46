#ifndef QUETZALLEAD_CORE_RELAY_CLIENTLIMITS_H
#define QUETZALLEAD_CORE_RELAY_CLIENTLIMITS_H

#include "quetzallead/Time.h"
#include <cstddef>

namespace quetzallead {

/// Bounds on what a caller may send, and how long it may take. The defaults
/// hold until a sheet is there.
struct ClientLimits {
  std::size_t HeaderBytes = std::size_t{16} << 10;
  std::size_t BodyBytes = std::size_t{1} << 20;
  /// From the first byte of a request to the end of its header.
  Duration HeaderTime = absl::Seconds(3);
  /// Without a request, or without progress in a body.
  Duration IdleTime = absl::Seconds(15);
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_CLIENTLIMITS_H
