#ifndef QUETZALLEAD_DAEMON_HEALTHPROBER_H
#define QUETZALLEAD_DAEMON_HEALTHPROBER_H

#include "runtime/TimerService.h"
#include <memory>
#include <string>

namespace quetzallead {

class ClusterDirectory;
class FleetService;
class HttpClient;
struct HttpOutcome;

/// Asks backend servers that said they were draining for their health, so that
/// those which came back are used again. Health reports decide nothing else:
/// outcomes of requests count for more.
class HealthProber {
public:
  HealthProber(ClusterDirectory &Directory, HttpClient &Client,
               TimerService &Timers);

  /// \p Fleet must outlive stop().
  void start(FleetService &Fleet);
  void stop();

private:
  void probeAll();
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
