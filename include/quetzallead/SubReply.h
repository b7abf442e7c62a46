#ifndef QUETZALLEAD_SUBREPLY_H
#define QUETZALLEAD_SUBREPLY_H

#include "quetzallead/HeldVersions.h"
#include "quetzallead/LoadReport.h"
#include "quetzallead/Snapshot.h"
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace quetzallead {

/// The whole result of one sub-request at one replica.
struct SubReply {
  Snapshot Taken;
  /// Key range the result covers; To is empty at the end of the key space.
  std::string From;
  std::string To;
  /// A JSON array; null for counts.
  nlohmann::json Rows;
  std::uint64_t Count = 0;
  std::optional<LoadReport> Load;
  /// What the server says it holds; unknown if it does not say.
  HeldVersions Held;
};

} // namespace quetzallead

#endif // QUETZALLEAD_SUBREPLY_H
