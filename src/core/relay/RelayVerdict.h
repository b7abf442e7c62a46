#ifndef QUETZALLEAD_CORE_RELAY_RELAYVERDICT_H
#define QUETZALLEAD_CORE_RELAY_RELAYVERDICT_H

#include "core/relay/PartReply.h"
#include "quetzallead/NameTable.h"
#include "quetzallead/Time.h"
#include <cstddef>
#include <memory>
#include <vector>

namespace quetzallead {

/// What a request ends with.
enum class RelayOutcome {
  Relayed,    ///< The answer of a backend server, unchanged.
  Merged,     ///< A survey's answer.
  Refused,    ///< Not run, and never will be.
  Unservable, ///< Not run: no backend server can take it.
  Failed,     ///< May have run; no answer can be had.
  TimedOut,   ///< May have run; its time is over.
  CallerLeft, ///< Nobody waits for an answer.
};

inline constexpr NamedValue<RelayOutcome> RelayOutcomeNames[] = {
    {RelayOutcome::Relayed, "relayed"},
    {RelayOutcome::Merged, "merged"},
    {RelayOutcome::Refused, "refused"},
    {RelayOutcome::Unservable, "unservable"},
    {RelayOutcome::Failed, "failed"},
    {RelayOutcome::TimedOut, "timed_out"},
    {RelayOutcome::CallerLeft, "caller_left"},
};

struct RelayVerdict {
  RelayOutcome Outcome = RelayOutcome::Failed;
  /// The answer for Relayed; the answers of the parts for Merged.
  std::vector<std::shared_ptr<BackendAnswer>> Answers;
  /// Shards that Merged leaves out.
  std::size_t Missing = 0;
  /// When a caller that was refused should come back.
  Duration RetryAfter = absl::ZeroDuration();
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_RELAYVERDICT_H
