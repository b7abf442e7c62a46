#ifndef QUETZALLEAD_CORE_RELAY_EXTRALOADBUDGET_H
#define QUETZALLEAD_CORE_RELAY_EXTRALOADBUDGET_H

#include "quetzallead/Time.h"
#include <array>
#include <cstdint>

namespace quetzallead {

/// What all instances together may send beyond the first attempt of each
/// request, per service.
struct ExtraLoadLimits {
  /// Extra attempts per request.
  double Share = 0.1;
  /// Extra attempts in any window, whatever the number of requests.
  double Base = 10;
  Duration Window = absl::Seconds(10);
};

/// One instance's part of the extra attempts at one service. Counts requests
/// and extra attempts in a sliding window: the sum over instances stays within
/// the limits in any window, without a word between them, since each spends a
/// share of its own requests and its part of the base. A restart begins with
/// nothing earned. Not thread-safe.
class ExtraLoadBudget {
public:
  explicit ExtraLoadBudget(ExtraLoadLimits Limits);

  /// A request for the service came.
  void earn(TimePoint Now);
  /// Takes one extra attempt if more than \p Reserve of what the window allows
  /// would be left, 0 to 1.
  bool spend(double Reserve, int Instances, TimePoint Now);
  /// Gives back an extra attempt that was not sent after all.
  void refund(TimePoint Now);
  /// Extra attempts that may be sent now.
  double available(int Instances, TimePoint Now);

private:
  static constexpr int SlotCount = 20;
  struct Slot {
    std::int64_t Index = -1;
    std::uint32_t Requests = 0;
    std::uint32_t Extra = 0;
  };
  struct Sums {
    double Allowed = 0;
    double Spent = 0;
  };

  Slot &slot(TimePoint Now);
  Sums sums(int Instances, TimePoint Now);
  std::int64_t slotIndex(TimePoint Now) const;

  ExtraLoadLimits Limits;
  /// One more than a window holds, since the oldest counts in part.
  std::array<Slot, SlotCount + 1> Slots;
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_EXTRALOADBUDGET_H
