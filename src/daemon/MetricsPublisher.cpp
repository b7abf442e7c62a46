#include "daemon/MetricsPublisher.h"
#include "daemon/ClusterDirectory.h"
#include "daemon/FleetService.h"
#include "runtime/Metrics.h"
#include <array>
#include <map>
#include <string>
#include <vector>

namespace quetzallead {

static constexpr Duration PublishPeriod = absl::Seconds(1);

MetricsPublisher::MetricsPublisher(ClusterDirectory &Dir, Metrics &MetricsPart,
                                   TimerService &TimerPart)
    : Directory(Dir), Target(MetricsPart), Timers(TimerPart) {}

void MetricsPublisher::start(FleetService &FleetPart) {
  Fleet = &FleetPart;
  Ticker = Timers.every(PublishPeriod, [this](TimePoint) { publish(); });
}

void MetricsPublisher::stop() { Ticker.reset(); }

void MetricsPublisher::publish() {
  std::shared_ptr<const ClusterView> View = Directory.view();
  Target.setSheetRevision(View->Revision);
  publishServices(*View);
  publishServers(*View);
  publishPeers();
}

void MetricsPublisher::publishServices(const ClusterView &View) {
  if (View.Revision != LastRevision) {
    LastRevision = View.Revision;
    std::vector<std::string> Names;
    for (const auto &[Name, Service] : View.Services)
      Names.push_back(Name);
    Target.setServices(Names);
  }
  for (const auto &[Name, Service] : View.Services)
    Target.setRetryBudget(Name, Service->Stats->Budget.available());
}

void MetricsPublisher::publishServers(const ClusterView &View) {
  std::map<std::string, std::size_t> Connections;
  std::array<std::size_t, PriorityCount> Queued{};
  for (const auto &[Name, Service] : View.Services)
    for (const auto &Set : Service->Shards) {
      for (const NamedValue<Priority> &Level : PriorityNames)
        Queued[static_cast<std::size_t>(Level.Value)] +=
            Set->queueLength(Level.Value);
      for (std::size_t R = 0; R < Set->size(); ++R)
        if (!Set->removed(R))
          Connections[Set->spec(R).Name] =
              static_cast<std::size_t>(Set->belief(R).WarmConnections);
    }
  Target.setConnections(Connections);
  for (const NamedValue<Priority> &Level : PriorityNames)
    Target.setQueueLength(Level.Value,
                          Queued[static_cast<std::size_t>(Level.Value)]);
}

void MetricsPublisher::publishPeers() {
  std::map<std::string, std::size_t> ByState;
  std::string Self = Fleet->self();
  for (const MemberRecord &R : Fleet->members())
    if (R.Name != Self && R.Incarnation != 0)
      ++ByState[std::string(nameOf(MemberStateNames, R.state()))];
  Target.setPeers(ByState);
}

} // namespace quetzallead
