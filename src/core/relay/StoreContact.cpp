#include "core/relay/StoreContact.h"
#include <algorithm>

namespace quetzallead {

/// The store counts as lost if it does not respond for this long, or if another
/// home has had a newer sheet for this long.
static constexpr Duration LossDelay = absl::Milliseconds(500);
/// A home hands over while another one was in contact within this time. In a
/// zone that is cut off the homes lose the store one after the other, and must
/// not go on handing over to each other.
static constexpr Duration ContactMaxAge = absl::Milliseconds(1200);

void StoreContact::onLost(FollowedData What, TimePoint Now) {
  TimePoint &Since =
      What == FollowedData::Sheet ? SheetLostSince : ServersLostSince;
  Since = std::min(Since, Now);
}

void StoreContact::onBack(FollowedData What) {
  (What == FollowedData::Sheet ? SheetLostSince : ServersLostSince) =
      absl::InfiniteFuture();
}

void StoreContact::onSheetFromHome(TimePoint Now) {
  SheetFromHomeSince = std::min(SheetFromHomeSince, Now);
}

bool StoreContact::lost(TimePoint Now) const {
  return Now -
             std::min({SheetLostSince, ServersLostSince, SheetFromHomeSince}) >=
         LossDelay;
}

bool StoreContact::handsOver(TimePoint Now) const {
  return lost(Now) && Now - HomeInContactAt < ContactMaxAge;
}

} // namespace quetzallead
