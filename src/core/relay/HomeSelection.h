#ifndef QUETZALLEAD_CORE_RELAY_HOMESELECTION_H
#define QUETZALLEAD_CORE_RELAY_HOMESELECTION_H

#include "core/relay/InstanceDirectory.h"
#include "quetzallead/Time.h"
#include <string>
#include <vector>

namespace quetzallead {

/// Number of instances per zone that ask backend servers on behalf of all.
struct HomePolicy {
  /// Homes per zone.
  int PerZone = 2;
  /// Further instances per zone that register, so that they replace a lost home
  /// without a call to the store.
  int SparesPerZone = 3;
  /// In a zone with at most this many registered instances all are homes: few
  /// instances know the backend servers well without help.
  int AllUpTo = 3;
};

/// What a machine gives an instance.
struct MachineResources {
  /// Processor cores, also fractions.
  double Cores = 1;
  double MemoryMb = 1024;
  double Descriptors = 4096;
  double LinkMbps = 1000;
};

/// Weight of an instance in the choice of homes. Processor time is what homes
/// use most; another resource lowers the weight only if it is scarce.
double homeWeight(const MachineResources &Resources);

/// Homes of \p Zone, in order of preference: the instances of that zone with
/// the highest weighted rendezvous scores. All instances that know the same
/// directory choose the same homes, and a change of the directory moves only
/// the homes that joined or left.
std::vector<InstanceRecord> selectHomes(const InstanceDirectory &Directory,
                                        const std::string &Zone,
                                        const HomePolicy &Policy);

/// Names of the homes of all zones.
std::vector<std::string> homeNames(const InstanceDirectory &Directory,
                                   const HomePolicy &Policy);

/// Whether \p Name is among the homes of its zone.
bool isHome(const InstanceDirectory &Directory, const std::string &Name,
            const std::string &Zone, const HomePolicy &Policy);

/// What an instance does after reading the directory.
enum class RegistrationStep {
  Register,  ///< Register now.
  WaitFirst, ///< Wait for registrationDelay(), then read again.
  Stay,      ///< Enough other instances of the zone are registered.
};

/// Handles the start of all instances at once: if the directory is empty, the
/// instances wait for different times, so that the first ones to register are
/// enough. \p Waited tells whether this instance has waited.
RegistrationStep planRegistration(const InstanceDirectory &Directory,
                                  const InstanceRecord &Self,
                                  const HomePolicy &Policy, bool Waited);

/// Delay before registering in an empty directory: shorter for machines of
/// higher weight. \p Jitter is a random number from 0 to 1.
Duration registrationDelay(double Weight, double Jitter);

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_HOMESELECTION_H
