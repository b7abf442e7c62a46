#ifndef QUETZALLEAD_DAEMON_METRICSPUBLISHER_H
#define QUETZALLEAD_DAEMON_METRICSPUBLISHER_H

#include "runtime/TimerService.h"
#include <cstdint>
#include <memory>

namespace quetzallead {

class ClusterDirectory;
class FleetService;
class Metrics;
struct ClusterView;

/// Sets the gauges of Metrics from the state of the daemon, once a second.
class MetricsPublisher {
public:
  MetricsPublisher(ClusterDirectory &Directory, Metrics &Target,
                   TimerService &Timers);

  /// \p Fleet must outlive stop().
  void start(FleetService &Fleet);
  void stop();

private:
  void publish();
  void publishServices(const ClusterView &View);
  void publishServers(const ClusterView &View);
  void publishPeers();

  ClusterDirectory &Directory;
  Metrics &Target;
  TimerService &Timers;
  FleetService *Fleet = nullptr;
  std::uint64_t LastRevision = 0;
  std::shared_ptr<TimerService::Subscription> Ticker;
};

} // namespace quetzallead

#endif // QUETZALLEAD_DAEMON_METRICSPUBLISHER_H
