#ifndef QUETZALLEAD_DAEMON_DECISIONRECORD_H
#define QUETZALLEAD_DAEMON_DECISIONRECORD_H

#include "quetzallead/AttemptCause.h"
#include "quetzallead/AttemptResult.h"
#include "quetzallead/RunState.h"
#include "quetzallead/Time.h"
#include <cstdint>
#include <string>
#include <vector>

namespace quetzallead {

/// One attempt of a request.
struct AttemptRecord {
  std::string Shard;
  std::string Server;
  AttemptCause Cause = AttemptCause::First;
  std::uint64_t Version = 0;
  TimePoint Sent;
  Duration Elapsed = absl::ZeroDuration();
  bool Ended = false;
  AttemptResult Result = AttemptResult::Unused;
  std::string Detail;
};

/// What was tried for one request, where and why, and what came of it.
struct DecisionRecord {
  std::string RequestId;
  std::string Service;
  std::string Kind;
  TimePoint Started;
  Duration Elapsed = absl::ZeroDuration();
  int Status = 0;
  RunState Run = RunState::NotRun;
  std::size_t Wanted = 0;
  std::size_t Covered = 0;
  std::uint64_t SheetRevision = 0;
  std::string Detail;
  std::vector<AttemptRecord> Attempts;
};

} // namespace quetzallead

#endif // QUETZALLEAD_DAEMON_DECISIONRECORD_H
