#ifndef QUETZALLEAD_LOAD_LOADRECORD_H
#define QUETZALLEAD_LOAD_LOADRECORD_H

#include "load/AnswerFault.h"
#include "load/RequestKind.h"
#include "quetzallead/Priority.h"
#include "quetzallead/RunState.h"
#include "quetzallead/Time.h"
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace quetzallead {

/// What came of one request of a run.
struct LoadRecord {
  std::uint64_t Sequence = 0;
  /// Intended send time, from the start of the run.
  Duration Offset;
  /// From the intended to the real send time.
  Duration Lateness;
  /// From the intended send time to the end of the answer.
  Duration Latency;
  RequestKind Kind = RequestKind::Survey;
  std::string Service;
  Priority Urgency = Priority::Ordinary;
  /// Target it was sent to; empty in direct mode.
  std::string Target;
  /// HTTP status; 0 if no whole response came.
  int Status = 0;
  /// As the answer states it; none if it states none.
  std::optional<RunState> State;
  std::string RequestId;
  int CoverageWanted = 0;
  int CoverageCovered = 0;
  /// Missing shards by the reason that the answer states.
  std::map<std::string, int> Missing;
  std::uint64_t Version = 0;
  /// Zero if the answer names no time to come back.
  Duration RetryAfter;
  AnswerFault Fault = AnswerFault::None;

  /// True for an answer with every wanted shard and nothing wrong with it.
  bool whole() const {
    return Status == 200 && Fault == AnswerFault::None &&
           CoverageCovered == CoverageWanted;
  }
  /// True if the tier refused the request at once.
  bool refused() const { return Status == 429 || Status == 503; }
};

/// One line of JSON, without the line's end.
std::string formatRecord(const LoadRecord &Record);

} // namespace quetzallead

#endif // QUETZALLEAD_LOAD_LOADRECORD_H
