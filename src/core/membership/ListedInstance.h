#ifndef QUETZALLEAD_CORE_MEMBERSHIP_LISTEDINSTANCE_H
#define QUETZALLEAD_CORE_MEMBERSHIP_LISTEDINSTANCE_H

#include <string>

namespace quetzallead {

/// One instance as the platform's instance list has it, which lags both ways.
struct ListedInstance {
  std::string Name;
  /// "ip:port" of its peer listener.
  std::string Address;
  std::string Zone;
  bool Leaving = false;
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_MEMBERSHIP_LISTEDINSTANCE_H
