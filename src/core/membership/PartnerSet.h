#ifndef QUETZALLEAD_CORE_MEMBERSHIP_PARTNERSET_H
#define QUETZALLEAD_CORE_MEMBERSHIP_PARTNERSET_H

#include "quetzallead/Time.h"
#include <cstddef>
#include <random>
#include <string>
#include <vector>

namespace quetzallead {

class MemberTable;
struct MemberRecord;

/// The instances that this one gossips with by itself: some of its own zone and
/// at least one of each other zone, so that no single link blinds it. Changes
/// slowly, so that connections last.
class PartnerSet {
public:
  static constexpr std::size_t OwnZonePartners = 4;
  static constexpr std::size_t PartnersPerOtherZone = 1;
  /// Filled up to this from any zone.
  static constexpr std::size_t LeastPartners = 8;
  /// Time after which one partner is exchanged.
  static Duration rotationPeriod() { return absl::Seconds(60); }

  /// Drops partners that are not present and fills up the set.
  void refresh(const MemberTable &Members, const MemberRecord &Self,
               TimePoint Now, std::mt19937_64 &Engine);

  /// The next partner in turn; empty if there is none.
  std::string next();
  /// Up to \p Count distinct partners by chance, without \p Excluded.
  std::vector<std::string> some(std::size_t Count, const std::string &Excluded,
                                std::mt19937_64 &Engine) const;

  const std::vector<std::string> &names() const { return Names; }

private:
  bool contains(const std::string &Name) const;
  void addSome(std::vector<std::string> Candidates, std::size_t Count,
               std::mt19937_64 &Engine);

  std::vector<std::string> Names;
  std::size_t Turn = 0;
  TimePoint RotateAt = absl::InfinitePast();
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_MEMBERSHIP_PARTNERSET_H
