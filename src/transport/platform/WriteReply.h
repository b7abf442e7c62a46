#ifndef QUETZALLEAD_TRANSPORT_PLATFORM_WRITEREPLY_H
#define QUETZALLEAD_TRANSPORT_PLATFORM_WRITEREPLY_H

#include "quetzallead/WriteOutcome.h"
#include <string>

namespace quetzallead {

/// What came of a write to the platform.
struct WriteReply {
  WriteOutcome Outcome = WriteOutcome::Unknown;
  /// What went wrong, for logs.
  std::string Detail;
};

} // namespace quetzallead

#endif // QUETZALLEAD_TRANSPORT_PLATFORM_WRITEREPLY_H
