#ifndef QUETZALLEAD_CORE_RELAY_ADMISSIONPOLICY_H
#define QUETZALLEAD_CORE_RELAY_ADMISSIONPOLICY_H

#include "quetzallead/Time.h"
#include <cstddef>
#include <vector>

namespace quetzallead {

/// What a request would meet at one service that it needs.
struct ServiceOutlook {
  /// Expected time until the request would get its slot.
  Duration Wait = absl::ZeroDuration();
  /// Time until the first pause ends if all servers are paused, or zero.
  Duration PauseLeft = absl::ZeroDuration();
  /// A server that the request may use is not marked unreachable.
  bool Reachable = true;
};

/// What becomes of a request on its arrival.
enum class AdmissionVerdict {
  Admit,
  TooSlow,    ///< Rejected until the slowest service has room.
  Paused,     ///< Rejected until a pause ends.
  Unservable, ///< Rejected: too few services have servers.
};

struct AdmissionDecision {
  AdmissionVerdict Verdict = AdmissionVerdict::Admit;
  /// By service: whether the part is expected to start in time.
  std::vector<bool> InTime;
  /// The service on which a rejected request waits, for TooSlow and Paused.
  std::size_t Decisive = 0;
  /// How much earlier the part there would have to start.
  Duration Excess = absl::ZeroDuration();
};

/// Decides whether a request is begun of which \p NeededParts must start within
/// \p TimeToStart.
///
/// Handles overload and losses of several shards: a survey that will not reach
/// its coverage is rejected before it costs a slot at any server.
AdmissionDecision decideAdmission(const std::vector<ServiceOutlook> &Services,
                                  std::size_t NeededParts,
                                  Duration TimeToStart);

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_ADMISSIONPOLICY_H
