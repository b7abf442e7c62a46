#include "core/relay/ExtraLoadBudget.h"
#include <algorithm>

namespace quetzallead {

/// Share of the limits that is used; the rest is a margin for requests in
/// transit while the window moves.
static constexpr double UsableShare = 0.85;

ExtraLoadBudget::ExtraLoadBudget(ExtraLoadLimits GivenLimits)
    : Limits(GivenLimits) {}

std::int64_t ExtraLoadBudget::bucketIndex(TimePoint Now) const {
  return absl::ToUnixNanos(Now) /
         std::max<std::int64_t>(
             1, absl::ToInt64Nanoseconds(Limits.Window / BucketCount));
}

ExtraLoadBudget::Bucket &ExtraLoadBudget::bucket(TimePoint Now) {
  const std::int64_t Index = bucketIndex(Now);
  Bucket &B = Buckets[static_cast<std::size_t>(Index) % Buckets.size()];
  if (B.Index != Index)
    B = Bucket{Index, 0, 0};
  return B;
}

ExtraLoadBudget::Totals ExtraLoadBudget::totals(int Instances, TimePoint Now) {
  const std::int64_t Index = bucketIndex(Now);
  double Requests = 0;
  Totals Out;
  for (const Bucket &B : Buckets) {
    if (B.Index < 0 || Index - B.Index > BucketCount)
      continue;
    // The oldest bucket lies partly outside the window. To be conservative, its
    // extra attempts count as inside and its requests as outside.
    Out.Spent += B.Extra;
    if (Index - B.Index < BucketCount)
      Requests += B.Requests;
  }
  Out.Allowed =
      UsableShare * (Limits.Share * Requests +
                     Limits.Base / static_cast<double>(std::max(1, Instances)));
  return Out;
}

void ExtraLoadBudget::earn(TimePoint Now) { ++bucket(Now).Requests; }

bool ExtraLoadBudget::spend(double Reserve, int Instances, TimePoint Now) {
  Bucket &B = bucket(Now);
  const Totals Window = totals(Instances, Now);
  if (Window.Spent + 1 > Window.Allowed * (1 - Reserve))
    return false;
  ++B.Extra;
  return true;
}

void ExtraLoadBudget::refund(TimePoint Now) {
  Bucket &B = bucket(Now);
  if (B.Extra > 0)
    --B.Extra;
}

double ExtraLoadBudget::available(int Instances, TimePoint Now) {
  bucket(Now);
  const Totals Window = totals(Instances, Now);
  return std::max(0.0, Window.Allowed - Window.Spent);
}

} // namespace quetzallead
