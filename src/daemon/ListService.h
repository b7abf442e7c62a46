#ifndef QUETZALLEAD_DAEMON_LISTSERVICE_H
#define QUETZALLEAD_DAEMON_LISTSERVICE_H

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_set.h"
#include "quetzallead/PosixMutex.h"
#include "runtime/TimerService.h"
#include <cstdint>
#include <memory>
#include <string>

namespace quetzallead {

class ClusterDirectory;
class FleetService;
class PlatformClient;
struct CatalogReply;
struct Settings;

/// Follows the platform's lists: keeps this instance on the list of instances,
/// reads who else is on it, and, where this instance ranks first in its zone,
/// watches the list of backend servers for those that leave. Thread-safe.
class ListService {
public:
  ListService(const Settings &S, ClusterDirectory &Directory,
              PlatformClient &Platform, TimerService &Timers);

  /// \p Fleet must outlive stop().
  void start(FleetService &Fleet);
  /// Marks this instance as leaving on the list; it does not wait.
  void leave();
  /// Takes this instance off the list and ends the following.
  void stop();

private:
  void tick(TimePoint Now);
  void enlist();
  void readInstances();
  void watchServers();
  void onInstances(const CatalogReply &Reply);
  void onServers(const CatalogReply &Reply);

  const Settings &Options;
  ClusterDirectory &Directory;
  PlatformClient &Platform;
  TimerService &Timers;
  FleetService *Fleet = nullptr;
  PosixMutex Mutex;
  bool Leaving ABSL_GUARDED_BY(Mutex) = false;
  bool Enlisted ABSL_GUARDED_BY(Mutex) = false;
  bool EnlistPending ABSL_GUARDED_BY(Mutex) = false;
  bool ReadPending ABSL_GUARDED_BY(Mutex) = false;
  /// This instance ranks first, or next to it, in its zone.
  bool OnDuty ABSL_GUARDED_BY(Mutex) = false;
  bool WatchPending ABSL_GUARDED_BY(Mutex) = false;
  TimePoint NextRead ABSL_GUARDED_BY(Mutex) = absl::InfinitePast();
  TimePoint NextWatch ABSL_GUARDED_BY(Mutex) = absl::InfinitePast();
  std::uint64_t WatchIndex ABSL_GUARDED_BY(Mutex) = 0;
  /// Backend servers that the list last showed as leaving.
  absl::flat_hash_set<std::string> LeavingServers ABSL_GUARDED_BY(Mutex);
  std::shared_ptr<TimerService::Subscription> Ticker;
};

} // namespace quetzallead

#endif // QUETZALLEAD_DAEMON_LISTSERVICE_H
