#ifndef QUETZALLEAD_TRANSPORT_PLATFORM_CATALOGREPLY_H
#define QUETZALLEAD_TRANSPORT_PLATFORM_CATALOGREPLY_H

#include "transport/platform/CatalogEntry.h"
#include "transport/platform/ReadOutcome.h"
#include <cstdint>
#include <string>
#include <vector>

namespace quetzallead {

/// What came of reading the platform's list for a service.
struct CatalogReply {
  ReadOutcome Outcome = ReadOutcome::Unavailable;
  /// Valid if Outcome is Answered.
  std::vector<CatalogEntry> Entries;
  /// Index to pass to the next watch; 0 if the platform gave none.
  std::uint64_t Index = 0;
  /// What went wrong, for logs.
  std::string Detail;
};

} // namespace quetzallead

#endif // QUETZALLEAD_TRANSPORT_PLATFORM_CATALOGREPLY_H
