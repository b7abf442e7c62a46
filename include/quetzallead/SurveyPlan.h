#ifndef QUETZALLEAD_SURVEYPLAN_H
#define QUETZALLEAD_SURVEYPLAN_H

#include "quetzallead/HeldVersions.h"
#include "quetzallead/MergeKind.h"
#include "quetzallead/ReplicaMask.h"
#include "quetzallead/Time.h"
#include <cstdint>
#include <string>
#include <vector>

namespace quetzallead {

/// One wanted shard of a survey.
struct PartPlan {
  std::string Shard;
  std::string From;
  std::string To;
  /// What each replica is known to hold, by replica index.
  std::vector<HeldVersions> Held;
  /// Replicas that must not be used.
  ReplicaMask Unusable = 0;
};

/// Everything a survey is decided from; all parts come from one sheet and so
/// from one partition epoch. A lookup is a survey with one part.
struct SurveyPlan {
  MergeKind Kind = MergeKind::Rows;
  /// Field that orders rows, for MergeKind::Ordered.
  std::string OrderBy;
  /// Most rows in the answer; 0 for no limit.
  std::size_t Limit = 0;
  std::uint64_t Epoch = 0;
  /// Oldest version the caller's session accepts.
  std::uint64_t MinVersion = 0;
  /// When the answer must be given.
  TimePoint Deadline;
  /// From here on LeastCoverage suffices.
  TimePoint CoverageDeadline;
  /// Share of the wanted shards, 0 to 1.
  double LeastCoverage = 1.0;
  /// Time after which a second attempt is sent beside a first; infinite for
  /// never.
  Duration HedgeDelay = absl::InfiniteDuration();
  std::vector<PartPlan> Parts;
};

} // namespace quetzallead

#endif // QUETZALLEAD_SURVEYPLAN_H
