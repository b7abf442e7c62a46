#include "core/relay/ReturnSchedule.h"
#include <algorithm>

namespace quetzallead {

Duration ReturnSchedule::reserve(Duration Wait, Duration Pace, Duration Longest,
                                 TimePoint Now) {
  const TimePoint Room = Now + Wait;
  const TimePoint Place =
      Last == absl::InfinitePast() ? Room : std::max(Room, Last + Pace);
  if (Place - Now > Longest)
    return Wait;
  Last = Place;
  return Place - Now;
}

} // namespace quetzallead
