#ifndef QUETZALLEAD_CORE_RELAY_INSTANCEDIRECTORY_H
#define QUETZALLEAD_CORE_RELAY_INSTANCEDIRECTORY_H

#include "core/relay/InstanceRecord.h"
#include <string>
#include <vector>

namespace quetzallead {

/// The registered instances as read from the store at one time. Only registered
/// instances connect to backend servers.
struct InstanceDirectory {
  std::vector<InstanceRecord> Instances;
  /// Entries that cannot be decoded, such as those of older versions; they
  /// count as instances of unknown place.
  int Undecoded = 0;
  /// Secret shared by all instances, with which they authenticate requests to
  /// each other; empty until an instance has created it.
  std::string LinkSecret;

  int count() const { return static_cast<int>(Instances.size()) + Undecoded; }
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_INSTANCEDIRECTORY_H
