#ifndef QUETZALLEAD_RELAY_INSTANCEREGISTRY_H
#define QUETZALLEAD_RELAY_INSTANCEREGISTRY_H

#include "relay/LoopTimers.h"
#include "relay/RevisionedStore.h"
#include <functional>
#include <memory>
#include <pcg_random.hpp>
#include <string>

namespace quetzallead {

/// Registers this instance in the store under a lease and periodically counts
/// the registered instances. While the store is unavailable, the last count
/// stays in effect.
class InstanceRegistry {
public:
  /// \p Prefix is the key prefix under which instances register, \p Name the
  /// name of this instance. \p OnCount is called after each complete count that
  /// is not zero.
  InstanceRegistry(RevisionedStore &Store, LoopTimers &Timers,
                   std::string Prefix, std::string Name,
                   std::function<void(int)> OnCount);

  void start();
  /// Deregisters this instance by ending its lease.
  void deregister();

private:
  /// Runs the call that the registration needs next.
  void advance();
  void grantLease();
  void renewLease();
  void putRegistration();
  /// Counts the keys after \p AfterKey and adds \p CountSoFar.
  void countInstances(const std::string &AfterKey, int CountSoFar);
  /// Schedules advance() after \p Delay, with jitter.
  void scheduleAdvance(Duration Delay);

  RevisionedStore &Store;
  LoopTimers &Timers;
  std::string Prefix;
  std::string Name;
  std::function<void(int)> OnCount;
  pcg32 Engine;
  std::uint64_t Lease = 0;
  bool Registered = false;
  bool Deregistered = false;
  std::shared_ptr<LoopTimers::Subscription> Timer;
};

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_INSTANCEREGISTRY_H
