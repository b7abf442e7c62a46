#ifndef QUETZALLEAD_TRANSPORT_PLATFORM_KVREPLY_H
#define QUETZALLEAD_TRANSPORT_PLATFORM_KVREPLY_H

#include "transport/platform/KvEntry.h"
#include "transport/platform/ReadOutcome.h"
#include <cstdint>
#include <optional>
#include <string>

namespace quetzallead {

/// What came of reading a key.
struct KvReply {
  ReadOutcome Outcome = ReadOutcome::Unavailable;
  /// Valid if Outcome is Answered; absent if the key does not exist.
  std::optional<KvEntry> Entry;
  /// Index to pass to the next watch; 0 if the store gave none.
  std::uint64_t Index = 0;
  /// What went wrong, for logs.
  std::string Detail;
};

} // namespace quetzallead

#endif // QUETZALLEAD_TRANSPORT_PLATFORM_KVREPLY_H
