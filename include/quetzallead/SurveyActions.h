#ifndef QUETZALLEAD_SURVEYACTIONS_H
#define QUETZALLEAD_SURVEYACTIONS_H

#include "quetzallead/AttemptCause.h"
#include "quetzallead/ReplicaMask.h"
#include <cstddef>
#include <cstdint>
#include <vector>

namespace quetzallead {

/// Names one attempt within its survey.
using AttemptId = std::uint32_t;

/// Ask the replica set of a part for a permit.
struct AcquirePermit {
  std::size_t Part = 0;
  ReplicaMask Excluded = 0;
  std::uint64_t Version = 0;
  bool MayWait = true;
};

/// Give back a permit that is no longer wanted.
struct ReturnPermit {
  std::size_t Part = 0;
  std::size_t Replica = 0;
};

/// Send an attempt to a replica whose permit is held.
struct SendAttempt {
  AttemptId Attempt = 0;
  std::size_t Part = 0;
  std::size_t Replica = 0;
  /// Version the reply must carry; 0 for the server's newest.
  std::uint64_t Version = 0;
  AttemptCause Cause = AttemptCause::First;
};

/// Cancel an attempt in flight; its end is still reported.
struct CancelAttempt {
  AttemptId Attempt = 0;
};

/// Leave the queue of a part.
struct AbandonWait {
  std::size_t Part = 0;
};

/// What is to be done after an event, in this order.
struct SurveyActions {
  std::vector<AcquirePermit> Acquire;
  std::vector<ReturnPermit> Return;
  std::vector<SendAttempt> Send;
  std::vector<CancelAttempt> Cancel;
  std::vector<AbandonWait> Abandon;
  /// The answer is ready; set once.
  bool Finished = false;
};

} // namespace quetzallead

#endif // QUETZALLEAD_SURVEYACTIONS_H
