#include "relay/DerivedSettings.h"
#include "absl/hash/hash.h"
#include <algorithm>

namespace quetzallead {

/// Part of Settings.LeavingTime that is reserved for store calls and requests
/// in transit.
static constexpr Duration DrainMargin = absl::Milliseconds(600);
/// Least time after which a watch without a response counts as lost, however
/// short Settings.LeavingTime is: each watch is a call to the store.
static constexpr Duration MinStoreSilence = absl::Seconds(1);
static constexpr double BytesPerMegabyte = 1 << 20;

std::size_t memoryBytes(const RelaySettings &S) {
  return static_cast<std::size_t>(S.Machine.MemoryMb * BytesPerMegabyte);
}

RelayStateOptions stateOptions(const RelaySettings &S) {
  RelayStateOptions Options;
  Options.Instance = S.Instance;
  Options.Zone = S.Zone;
  Options.ZoneRegions = S.ZoneRegions;
  Options.ExtraLoad = S.ExtraLoad;
  Options.Homes = S.Homes;
  Options.Seed = absl::Hash<std::string>()(S.Instance);
  return Options;
}

Duration maxStoreSilence(const RelaySettings &S) {
  return std::max(MinStoreSilence, S.LeavingTime - DrainMargin);
}

ServerFeedOptions serverFeedOptions(const RelaySettings &S) {
  ServerFeedOptions Options;
  Options.ReturnTime = S.ReturnTime;
  Options.RemovalGracePeriod =
      std::clamp(S.LeavingTime - ServerBatchDelay - DrainMargin,
                 absl::ZeroDuration(), S.ReturnTime);
  Options.LeavingTime = S.LeavingTime;
  Options.LeavingMargin = DrainMargin;
  return Options;
}

} // namespace quetzallead
