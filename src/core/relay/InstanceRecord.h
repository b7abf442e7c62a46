#ifndef QUETZALLEAD_CORE_RELAY_INSTANCERECORD_H
#define QUETZALLEAD_CORE_RELAY_INSTANCERECORD_H

#include "absl/strings/string_view.h"
#include "quetzallead/Error.h"
#include <string>

namespace quetzallead {

/// What an instance registers about itself.
struct InstanceRecord {
  std::string Name;
  std::string Zone;
  /// "ip:port" at which it takes requests from other instances; empty if it
  /// takes none.
  std::string LinkAddress;
  /// Weight in the choice of homes; 0 excludes the instance.
  double Weight = 1;
};

/// Encodes \p Record as JSON.
std::string encodeInstanceRecord(const InstanceRecord &Record);

/// Decodes a record. Fails with InvalidArgument; an instance of an older
/// version registers its name alone, which is not a record.
Result<InstanceRecord> decodeInstanceRecord(absl::string_view Text);

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_INSTANCERECORD_H
