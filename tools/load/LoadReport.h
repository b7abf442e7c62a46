#ifndef QUETZALLEAD_LOAD_LOADREPORT_H
#define QUETZALLEAD_LOAD_LOADREPORT_H

#include "load/LatencyRecorder.h"
#include "load/RequestKind.h"
#include "quetzallead/Priority.h"
#include <map>
#include <string>
#include <utility>

namespace quetzallead {

struct LoadRecord;

/// What became of the requests of one kind and priority.
struct LoadGroup {
  std::size_t Sent = 0;
  /// Answers that cover all that was wanted and are right.
  std::size_t Whole = 0;
  /// Right answers that name missing shards.
  std::size_t Partial = 0;
  std::size_t Refused = 0;
  /// Neither an answer nor a refusal.
  std::size_t Failed = 0;
  /// Answers that break a promise; also counted as failed.
  std::size_t Faulty = 0;
  std::size_t ShardsWanted = 0;
  std::size_t ShardsCovered = 0;
  /// Latencies of whole and partial answers.
  LatencyRecorder Latencies;
};

/// Sums up a run by kind and priority.
class LoadReport {
public:
  void add(const LoadRecord &Record);
  /// A table for people. \p Seconds is the reported length of the run.
  std::string table(double Seconds) const;
  /// The same figures as one JSON object.
  std::string json(double Seconds) const;
  /// Answers that break a promise, over all groups.
  std::size_t faultyCount() const;

private:
  std::map<std::pair<RequestKind, Priority>, LoadGroup> Groups;
};

} // namespace quetzallead

#endif // QUETZALLEAD_LOAD_LOADREPORT_H
