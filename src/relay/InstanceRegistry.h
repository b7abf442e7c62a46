#ifndef QUETZALLEAD_RELAY_INSTANCEREGISTRY_H
#define QUETZALLEAD_RELAY_INSTANCEREGISTRY_H

#include "core/relay/HomeSelection.h"
#include "relay/LoopTimers.h"
#include "relay/RevisionedStore.h"
#include <functional>
#include <memory>
#include <pcg_random.hpp>
#include <string>

namespace quetzallead {

/// Options of an InstanceRegistry.
struct InstanceRegistryOptions {
  /// Prefix of the registrations and of the secret.
  std::string Prefix;
  /// Key prefix of registrations; begins with Prefix.
  std::string InstancesPrefix;
  /// Key of the secret that all instances share; begins with Prefix.
  std::string SecretKey;
  InstanceRecord Self;
  HomePolicy Homes;
};

/// Reads the directory of instances from the store and registers this instance
/// there under a lease, if its zone has too few registered instances. While the
/// store is unavailable, the last directory stays in effect.
class InstanceRegistry {
public:
  /// \p OnDirectory is called after each complete read.
  InstanceRegistry(RevisionedStore &Store, LoopTimers &Timers,
                   InstanceRegistryOptions Options,
                   std::function<void(const InstanceDirectory &)> OnDirectory);

  void start();
  /// Registers this instance even if its zone has enough others.
  void requireRegistration();
  /// Whether this instance is registered, as far as it knows.
  bool registered() const { return Registered; }
  /// The store has come back from a copy: the lease may be gone or another's by
  /// now, so that this instance registers again under a new one. The last
  /// directory stays in effect until the others have had time to do so.
  void onNewEra();
  /// Makes the cheapest call that only a store that serves answers.
  void probeStore();
  /// Deregisters this instance by ending its lease.
  void deregister();

private:
  /// Runs the call that the registration needs next.
  void advance();
  void grantLease();
  void renewLease();
  void putRegistration();
  void createSecret();
  /// Stores the secret in use again, which the store has lost.
  void restoreSecret();
  /// Adds this instance to the directory that was read before it registered.
  void addSelf();
  /// Reads the keys after \p AfterKey into Incoming.
  void readDirectory(const std::string &AfterKey);
  void onPage(const StorePage &Page);
  void onDirectory();
  /// Schedules advance() after \p Delay, with jitter.
  void scheduleAdvance(Duration Delay);
  /// Schedules advance() after a failed call.
  void scheduleRetry();
  double randomFraction();

  RevisionedStore &Store;
  LoopTimers &Timers;
  InstanceRegistryOptions Options;
  std::function<void(const InstanceDirectory &)> OnDirectory;
  pcg32 Engine;
  InstanceDirectory Incoming;
  std::uint64_t Lease = 0;
  int ConsecutiveFailures = 0;
  /// The directory has been read completely at least once.
  bool DirectoryRead = false;
  bool WaitedToRegister = false;
  bool WantsRegistration = false;
  bool HasSecret = false;
  /// The last secret that was read or created.
  std::string Secret;
  /// Number of eras seen; responses to calls of an earlier one do not count.
  std::uint64_t Eras = 0;
  bool Registered = false;
  /// The directory is to be read, rather than the lease renewed.
  bool ReadNext = true;
  bool Deregistered = false;
  /// The directory has not been read since the era began.
  bool EraBegins = false;
  std::shared_ptr<LoopTimers::Subscription> Timer;
};

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_INSTANCEREGISTRY_H
