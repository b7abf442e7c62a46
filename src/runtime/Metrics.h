#ifndef QUETZALLEAD_RUNTIME_METRICS_H
#define QUETZALLEAD_RUNTIME_METRICS_H

#include "absl/strings/string_view.h"
#include "quetzallead/AttemptCause.h"
#include "quetzallead/Error.h"
#include "quetzallead/Priority.h"
#include "runtime/RequestSample.h"
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace quetzallead {

/// Where metrics are scraped, and the labels that every series carries.
struct MetricsOptions {
  /// "ip:port", port 0 takes a free one; empty if they are not to be scraped.
  std::string Listen;
  std::string Instance;
  std::string Zone;
};

/// The metrics of one instance, on prometheus-cpp. Thread-safe. Labels are
/// bounded: services that are not on the sheet count as "other", and so do
/// backend servers beyond MaxServerSeries.
class Metrics {
public:
  /// Most services and backend servers that have series of their own.
  static constexpr std::size_t MaxServiceSeries = 256;
  static constexpr std::size_t MaxServerSeries = 512;

  /// Fails with Unavailable if the address cannot be bound.
  static Result<std::unique_ptr<Metrics>> make(const MetricsOptions &Options);
  virtual ~Metrics() = default;

  /// The services of the sheet. Those of earlier sheets keep their series.
  virtual void setServices(const std::vector<std::string> &Names) = 0;

  virtual void requestEnded(const RequestSample &Sample) = 0;
  /// A sub-request was sent to a backend server.
  virtual void attemptStarted(absl::string_view Service,
                              AttemptCause Cause) = 0;
  /// A request was refused at once for want of capacity.
  virtual void requestShed(absl::string_view Service, Priority Urgency) = 0;

  virtual void setQueueLength(Priority Urgency, std::size_t Length) = 0;
  /// Attempts that retries and hedges of \p Service may still take.
  virtual void setRetryBudget(absl::string_view Service, double Attempts) = 0;
  /// Open connections by backend server; replaces the earlier ones.
  virtual void
  setConnections(const std::map<std::string, std::size_t> &ByServer) = 0;
  virtual void setSheetRevision(std::uint64_t Revision) = 0;
  /// Other instances by the name of their state; replaces the earlier ones.
  virtual void setPeers(const std::map<std::string, std::size_t> &ByState) = 0;
  /// Frames from peers that were refused, by reason; \p Reason must be one of
  /// a fixed set.
  virtual void peerFrameRefused(absl::string_view Reason) = 0;

  /// All metrics in the text format of Prometheus.
  virtual std::string text() const = 0;
  /// The bound port; 0 if there is none.
  virtual int port() const = 0;
};

} // namespace quetzallead

#endif // QUETZALLEAD_RUNTIME_METRICS_H
