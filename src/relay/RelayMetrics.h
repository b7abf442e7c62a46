#ifndef QUETZALLEAD_RELAY_RELAYMETRICS_H
#define QUETZALLEAD_RELAY_RELAYMETRICS_H

#include "absl/strings/string_view.h"
#include "core/relay/MemoryUse.h"
#include "quetzallead/AttemptCause.h"
#include "quetzallead/AttemptResult.h"
#include "relay/AccountUse.h"
#include "relay/LoopSteps.h"
#include "relay/PeerKind.h"
#include "relay/RejectReason.h"
#include "relay/RelayRequestSample.h"
#include "relay/RelaySnapshot.h"
#include "relay/StoreItem.h"
#include <cstddef>
#include <memory>
#include <string>

namespace quetzallead {

/// Prometheus metrics of one relay, with durations in seconds. The number of
/// label values is bounded: routes and services beyond the maximum share the
/// label "other". Not thread-safe.
class RelayMetrics {
public:
  /// Maximum number of routes and services that have series of their own.
  static constexpr std::size_t MaxRouteSeries = 64;
  static constexpr std::size_t MaxServiceSeries = 256;
  static constexpr std::size_t MaxAccountSeries = 128;

  RelayMetrics(const std::string &Instance, const std::string &Zone);
  ~RelayMetrics();

  void requestEnded(const RelayRequestSample &Sample);
  void requestRejected(RejectReason Reason);
  void attemptEnded(const std::string &Service, AttemptCause Cause,
                    AttemptResult Result, Duration Elapsed);
  /// A backend server has announced for the first time that it is leaving.
  void serverLeaving();
  /// A backend server has asked for no requests for a while.
  void serverPaused();
  /// A backend server has named a limit, or a different one.
  void serverLimited();
  /// A step of the event loop took longer than LoopSteps::MaxStep.
  void loopStepLong(LoopTask Task);
  /// What \p Following names is not followed in the store any more.
  void storeLost(const char *Following, StoreOutcome Outcome);
  /// The store is back from an outage in which entries may have lapsed.
  void storeReturned();
  /// This instance has lost the backend servers, and is in contact again.
  void serversLost();
  void serversRegained();
  /// A request of a caller was handed over to a home because this instance
  /// lacks servers; \p Begun tells whether it had sent it to a server before.
  void requestHandedOver(bool Begun);
  /// A message of a peer was refused; \p Defect is one of a table of names.
  void messageRefused(PeerKind From, absl::string_view Defect);
  /// A request has met the limit of \p Account.
  void accountUsed(const std::string &Account, AccountUse Use);
  /// A backend server has ended while it ran a request.
  void serverEnded();
  /// What was held for \p Use has been ended, since memory was short.
  void memoryFreed(MemoryUse Use);
  /// All metrics in the text format of Prometheus. The gauges are set
  /// from \p Snapshot.
  std::string serialize(const RelaySnapshot &Snapshot);

private:
  class Exporter;

  std::unique_ptr<Exporter> Impl;
};

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_RELAYMETRICS_H
