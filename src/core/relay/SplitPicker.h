#ifndef QUETZALLEAD_CORE_RELAY_SPLITPICKER_H
#define QUETZALLEAD_CORE_RELAY_SPLITPICKER_H

#include "core/relay/Route.h"
#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace quetzallead {

/// Selects the service for each request of a Split route by smooth weighted
/// round robin, so that over time the shares match the weights exactly. Credits
/// are kept by name of the route and service, so that they survive a change of
/// sheet.
class SplitPicker {
public:
  /// Returns an index into R.Services, which must not be empty.
  std::size_t pick(const Route &R);

private:
  /// Credit by route name, then service name.
  std::map<std::string, std::map<std::string, double>> Credits;
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_SPLITPICKER_H
