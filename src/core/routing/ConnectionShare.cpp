#include "quetzallead/ConnectionShare.h"
#include <algorithm>

namespace quetzallead {

/// One newcomer is provided for per this many instances.
static constexpr int InstancesPerNewcomer = 10;

int connectionShare(int ConnectionLimit, int Instances) {
  int Fleet = std::max(1, Instances);
  int Newcomers = (Fleet + InstancesPerNewcomer - 1) / InstancesPerNewcomer;
  return std::max(1, ConnectionLimit / (Fleet + Newcomers));
}

} // namespace quetzallead
