#ifndef QUETZALLEAD_CORE_MEMBERSHIP_DEPARTURENOTICE_H
#define QUETZALLEAD_CORE_MEMBERSHIP_DEPARTURENOTICE_H

#include "quetzallead/Time.h"
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace quetzallead {

/// States which instances answer for an incarnation that stopped as planned.
struct DepartureNotice {
  std::string Instance;
  std::uint64_t Incarnation = 0;
  /// Names of instances, to be asked in order.
  std::vector<std::string> Successors;
  /// Not kept after this time. Travels as the time that remains.
  TimePoint Expires;

  static constexpr std::size_t MaxSuccessors = 4;
};

/// A hash of all that gossip has to make equal.
std::uint64_t hashOf(const DepartureNotice &Notice);

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_MEMBERSHIP_DEPARTURENOTICE_H
