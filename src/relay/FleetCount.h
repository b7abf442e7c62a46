#ifndef QUETZALLEAD_RELAY_FLEETCOUNT_H
#define QUETZALLEAD_RELAY_FLEETCOUNT_H

#include "relay/LoopTimers.h"
#include "relay/RevisionedStore.h"
#include <functional>
#include <memory>
#include <pcg_random.hpp>
#include <string>

namespace quetzallead {

/// Registers this instance in the store under a lease, and counts the
/// instances that are registered. While the store is away the last count
/// stays.
class FleetCount {
public:
  /// \p Prefix is where the instances register, \p Name this one's.
  FleetCount(RevisionedStore &Store, LoopTimers &Timers, std::string Prefix,
             std::string Name, std::function<void(int)> OnCount);

  void start();
  /// Takes this instance off the list.
  void leave();

private:
  void step();
  void grant();
  void renew();
  void put();
  void count(const std::string &After, int Before);
  void later(Duration Pause);

  RevisionedStore &Store;
  LoopTimers &Timers;
  std::string Prefix;
  std::string Name;
  std::function<void(int)> OnCount;
  pcg32 Engine;
  std::uint64_t Lease = 0;
  bool Registered = false;
  bool Left = false;
  std::shared_ptr<LoopTimers::Subscription> Timer;
};

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_FLEETCOUNT_H
