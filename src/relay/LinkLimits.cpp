#include "relay/LinkLimits.h"
#include "relay/LinkMessages.h"
#include <algorithm>
#include <cstdint>

namespace quetzallead {

/// Hold also while callers' own limits are less, or not known yet.
static constexpr std::size_t MaxLinkHeaderBytes = std::size_t{1} << 17;
static constexpr std::uint64_t MaxLinkBodyBytes = std::uint64_t{64} << 20;
static constexpr Duration LinkIdleTimeout = absl::Minutes(10);
static constexpr Duration LinkHeaderTimeout = absl::Seconds(5);

ClientLimits linkLimits(const ClientLimits &OfCallers) {
  ClientLimits Limits;
  const std::size_t HeaderBytes = OfCallers.MaxHeaderBytes;
  // Saturates instead of overflowing.
  Limits.MaxHeaderBytes =
      std::max({MaxLinkHeaderBytes, HeaderBytes, HeaderBytes + LinkHeadRoom});
  Limits.MaxBodyBytes = MaxLinkBodyBytes;
  Limits.HeaderTimeout = LinkHeaderTimeout;
  Limits.IdleTimeout = LinkIdleTimeout;
  return Limits;
}

} // namespace quetzallead
