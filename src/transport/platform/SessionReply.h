#ifndef QUETZALLEAD_TRANSPORT_PLATFORM_SESSIONREPLY_H
#define QUETZALLEAD_TRANSPORT_PLATFORM_SESSIONREPLY_H

#include "quetzallead/WriteOutcome.h"
#include <string>

namespace quetzallead {

/// What came of creating a session of the platform.
struct SessionReply {
  WriteOutcome Outcome = WriteOutcome::Unknown;
  /// Identifier of the session; valid if Outcome is Applied.
  std::string Id;
  /// What went wrong, for logs.
  std::string Detail;
};

} // namespace quetzallead

#endif // QUETZALLEAD_TRANSPORT_PLATFORM_SESSIONREPLY_H
