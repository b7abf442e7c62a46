#ifndef QUETZALLEAD_DAEMON_DECISIONRING_H
#define QUETZALLEAD_DAEMON_DECISIONRING_H

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "daemon/DecisionRecord.h"
#include "quetzallead/PosixMutex.h"
#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace quetzallead {

/// The last decision records, for "explain". Bounded; the oldest go first.
/// Thread-safe.
class DecisionRing {
public:
  explicit DecisionRing(std::size_t Most) : Capacity(Most) {}

  void add(DecisionRecord Record);
  std::optional<DecisionRecord> find(const std::string &RequestId) const;

private:
  const std::size_t Capacity;
  mutable PosixMutex Mutex;
  std::deque<std::string> Order ABSL_GUARDED_BY(Mutex);
  absl::flat_hash_map<std::string, DecisionRecord>
      Records ABSL_GUARDED_BY(Mutex);
};

} // namespace quetzallead

#endif // QUETZALLEAD_DAEMON_DECISIONRING_H
