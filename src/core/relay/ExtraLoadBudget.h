#ifndef QUETZALLEAD_CORE_RELAY_EXTRALOADBUDGET_H
#define QUETZALLEAD_CORE_RELAY_EXTRALOADBUDGET_H

#include "quetzallead/Time.h"
#include <array>
#include <cstdint>

namespace quetzallead {

/// Limits of the attempts beyond the first of each request, per service and
/// over all instances.
struct ExtraLoadLimits {
  /// Extra attempts per request.
  double Share = 0.1;
  /// Extra attempts per window, regardless of the number of requests.
  double Base = 10;
  Duration Window = absl::Seconds(10);
};

/// One instance's budget of extra attempts at one service. Counts requests and
/// extra attempts in a sliding window. Each instance may use a share of its own
/// requests and an equal fraction of the base, so the total over all instances
/// stays within the limits in any window without coordination. The counts are
/// empty after a restart. Not thread-safe.
class ExtraLoadBudget {
public:
  explicit ExtraLoadBudget(ExtraLoadLimits Limits);

  /// Counts a request for the service.
  void earn(TimePoint Now);
  /// Consumes one extra attempt and returns true, unless less than the fraction
  /// \p Reserve (0 to 1) of the allowance of the window would remain.
  bool spend(double Reserve, int Instances, TimePoint Now);
  /// Returns an extra attempt that was not sent.
  void refund(TimePoint Now);
  /// Number of extra attempts that may be sent now.
  double available(int Instances, TimePoint Now);

private:
  static constexpr int BucketCount = 20;
  struct Bucket {
    std::int64_t Index = -1;
    std::uint32_t Requests = 0;
    std::uint32_t Extra = 0;
  };
  struct Totals {
    double Allowed = 0;
    double Spent = 0;
  };

  Bucket &bucket(TimePoint Now);
  Totals totals(int Instances, TimePoint Now);
  std::int64_t bucketIndex(TimePoint Now) const;

  ExtraLoadLimits Limits;
  /// One bucket more than the window holds, as the oldest lies partly outside.
  std::array<Bucket, BucketCount + 1> Buckets;
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_EXTRALOADBUDGET_H
