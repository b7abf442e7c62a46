#ifndef QUETZALLEAD_MISSINGSHARD_H
#define QUETZALLEAD_MISSINGSHARD_H

#include "quetzallead/MissingReason.h"
#include <string>

namespace quetzallead {

/// A key range that an answer lacks, and why.
struct MissingShard {
  std::string Shard;
  std::string From;
  std::string To;
  MissingReason Reason = MissingReason::Timeout;
};

} // namespace quetzallead

#endif // QUETZALLEAD_MISSINGSHARD_H
