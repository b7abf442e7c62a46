#ifndef QUETZALLEAD_ANSWER_H
#define QUETZALLEAD_ANSWER_H

#include "quetzallead/MissingShard.h"
#include "quetzallead/RunState.h"
#include "quetzallead/Snapshot.h"
#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <vector>

namespace quetzallead {

/// The merged answer to a query: one snapshot, with its true coverage.
struct Answer {
  Snapshot Taken;
  std::size_t Wanted = 0;
  std::size_t Covered = 0;
  /// One entry for each wanted shard that is not covered, in key order.
  std::vector<MissingShard> Missing;
  /// A JSON array; null for counts.
  nlohmann::json Rows;
  std::uint64_t Count = 0;
  /// Whether any backend server executed a part.
  RunState Run = RunState::NotRun;

  bool complete() const { return Covered == Wanted; }
};

} // namespace quetzallead

#endif // QUETZALLEAD_ANSWER_H
