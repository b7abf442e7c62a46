#include "core/relay/ExtraLoadBudget.h"
#include <algorithm>

namespace quetzallead {

/// Part of the limits that is used, so that requests on their way while the
/// window moves do not exceed it.
static constexpr double UsedPart = 0.85;

ExtraLoadBudget::ExtraLoadBudget(ExtraLoadLimits GivenLimits)
    : Limits(GivenLimits) {}

std::int64_t ExtraLoadBudget::slotIndex(TimePoint Now) const {
  return absl::ToUnixNanos(Now) /
         std::max<std::int64_t>(
             1, absl::ToInt64Nanoseconds(Limits.Window / SlotCount));
}

ExtraLoadBudget::Slot &ExtraLoadBudget::slot(TimePoint Now) {
  const std::int64_t Index = slotIndex(Now);
  Slot &S = Slots[static_cast<std::size_t>(Index) % Slots.size()];
  if (S.Index != Index)
    S = Slot{Index, 0, 0};
  return S;
}

ExtraLoadBudget::Sums ExtraLoadBudget::sums(int Instances, TimePoint Now) {
  const std::int64_t Index = slotIndex(Now);
  double Requests = 0;
  Sums Out;
  for (const Slot &S : Slots) {
    if (S.Index < 0 || Index - S.Index > SlotCount)
      continue;
    // The oldest slot reaches out of the window: its extra attempts may lie
    // inside, its requests may not.
    Out.Spent += S.Extra;
    if (Index - S.Index < SlotCount)
      Requests += S.Requests;
  }
  Out.Allowed =
      UsedPart * (Limits.Share * Requests +
                  Limits.Base / static_cast<double>(std::max(1, Instances)));
  return Out;
}

void ExtraLoadBudget::earn(TimePoint Now) { ++slot(Now).Requests; }

bool ExtraLoadBudget::spend(double Reserve, int Instances, TimePoint Now) {
  Slot &S = slot(Now);
  const Sums Window = sums(Instances, Now);
  if (Window.Spent + 1 > Window.Allowed * (1 - Reserve))
    return false;
  ++S.Extra;
  return true;
}

void ExtraLoadBudget::refund(TimePoint Now) {
  Slot &S = slot(Now);
  if (S.Extra > 0)
    --S.Extra;
}

double ExtraLoadBudget::available(int Instances, TimePoint Now) {
  slot(Now);
  const Sums Window = sums(Instances, Now);
  return std::max(0.0, Window.Allowed - Window.Spent);
}

} // namespace quetzallead
