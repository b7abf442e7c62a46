#ifndef QUETZALLEAD_DAEMON_HEALTHPROBER_H
#define QUETZALLEAD_DAEMON_HEALTHPROBER_H

#include "runtime/TimerService.h"
#include <cstddef>
#include <memory>
#include <string>

namespace quetzallead {

class ClusterDirectory;
class FleetService;
class HttpClient;
class ReplicaSet;
struct HttpOutcome;

/// Asks backend servers that said they were draining, or that could not be
/// reached, for their health, so that those which came back are used again.
/// Health reports decide nothing else: outcomes of requests count for more.
class HealthProber {
public:
  HealthProber(ClusterDirectory &Directory, HttpClient &Client,
               TimerService &Timers);

  /// \p Fleet must outlive stop().
  void start(FleetService &Fleet);
  void stop();

private:
  void probeAll();
  /// A probe by this instance itself: what it cannot reach others may.
  void probeReachable(const std::shared_ptr<ReplicaSet> &Set,
                      std::size_t Replica);
  void probe(const std::string &Server, const std::string &Address);
  void onHealth(const std::string &Server, const HttpOutcome &Outcome);

  ClusterDirectory &Directory;
  HttpClient &Client;
  TimerService &Timers;
  FleetService *Fleet = nullptr;
  std::shared_ptr<TimerService::Subscription> Ticker;
};

} // namespace quetzallead

#endif // QUETZALLEAD_DAEMON_HEALTHPROBER_H
