#ifndef QUETZALLEAD_CORE_RELAY_RELAYRESULT_H
#define QUETZALLEAD_CORE_RELAY_RELAYRESULT_H

#include "core/relay/BackendResponse.h"
#include "quetzallead/NameTable.h"
#include "quetzallead/Time.h"
#include <cstddef>
#include <memory>
#include <vector>

namespace quetzallead {

/// Final outcome of a request.
enum class RelayOutcome {
  Relayed,            ///< The response of a backend server, unchanged.
  Merged,             ///< The merged response of a survey.
  Rejected,           ///< Rejected: not executed, and never will be.
  Unservable,         ///< Not executed: no backend server can take it.
  Failed,             ///< May have been executed; no response can be obtained.
  TimedOut,           ///< May have been executed; the deadline has passed.
  CallerDisconnected, ///< The caller disconnected before the response.
};

inline constexpr NamedValue<RelayOutcome> RelayOutcomeNames[] = {
    {RelayOutcome::Relayed, "relayed"},
    {RelayOutcome::Merged, "merged"},
    {RelayOutcome::Rejected, "refused"},
    {RelayOutcome::Unservable, "unservable"},
    {RelayOutcome::Failed, "failed"},
    {RelayOutcome::TimedOut, "timed_out"},
    {RelayOutcome::CallerDisconnected, "caller_left"},
};

/// Outcome of a request and the data that its response is made from.
struct RelayResult {
  RelayOutcome Outcome = RelayOutcome::Failed;
  /// The response for Relayed; the responses of the parts for Merged.
  std::vector<std::shared_ptr<BackendResponse>> Responses;
  /// Number of shards without a response, for Merged.
  std::size_t MissingParts = 0;
  /// Time after which the caller should retry, for Refused and Unservable.
  Duration RetryAfter = absl::ZeroDuration();
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_RELAYRESULT_H
