#ifndef QUETZALLEAD_CORE_RELAY_SPLITPICKER_H
#define QUETZALLEAD_CORE_RELAY_SPLITPICKER_H

#include "core/relay/Route.h"
#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace quetzallead {

/// Draws the service of each request of a weighted route so that the shares
/// follow the weights exactly over time: smooth weighted round robin. What a
/// service is owed is kept over sheets that leave the route alone.
class SplitPicker {
public:
  /// Index into R.Services, which must not be empty.
  std::size_t pick(const Route &R);

private:
  /// By name of the route, then of the service: what it is owed.
  std::map<std::string, std::map<std::string, double>> Owed;
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_SPLITPICKER_H
