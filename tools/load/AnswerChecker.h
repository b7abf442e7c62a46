#ifndef QUETZALLEAD_LOAD_ANSWERCHECKER_H
#define QUETZALLEAD_LOAD_ANSWERCHECKER_H

#include "absl/container/flat_hash_set.h"
#include "load/AnswerFault.h"
#include "quetzallead/PosixMutex.h"
#include <cstdint>
#include <string>

namespace quetzallead {

struct HttpResponse;
struct LoadRecord;

/// What the caller knows of its own request.
struct AnswerExpectation {
  std::string Service;
  /// Key of a lookup; empty otherwise.
  std::string Key;
  /// Greatest version of the service that the session has seen.
  std::uint64_t SeenVersion = 0;
};

/// Holds every answer against what the protocol promises. Thread-safe: it
/// remembers the identifiers of all answers of a run.
class AnswerChecker {
public:
  /// Fills \p Record with what \p Response states, its fault included.
  void check(const AnswerExpectation &Expected, const HttpResponse &Response,
             LoadRecord &Record);

private:
  bool firstSight(const std::string &RequestId);

  PosixMutex Lock;
  absl::flat_hash_set<std::string> Ids ABSL_GUARDED_BY(Lock);
};

} // namespace quetzallead

#endif // QUETZALLEAD_LOAD_ANSWERCHECKER_H
