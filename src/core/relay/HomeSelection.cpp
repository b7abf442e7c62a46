#include "core/relay/HomeSelection.h"
#include "absl/strings/str_cat.h"
#include <algorithm>
#include <cmath>
#include <set>
#include <xxhash.h>

namespace quetzallead {

/// Resources below these lower the weight of an instance as a home.
static constexpr double AmpleMemoryMb = 128;
static constexpr double AmpleDescriptors = 2000;
static constexpr double AmpleLinkMbps = 20;
/// Bounds of the delay before the first registration, and the share of it that
/// is random.
static constexpr Duration MinRegistrationDelay = absl::Milliseconds(50);
static constexpr Duration MaxRegistrationDelay = absl::Milliseconds(1200);
static constexpr Duration RegistrationJitter = absl::Milliseconds(250);

double homeWeight(const MachineResources &Resources) {
  const double Scarcity = std::min({1.0, Resources.MemoryMb / AmpleMemoryMb,
                                    Resources.Descriptors / AmpleDescriptors,
                                    Resources.LinkMbps / AmpleLinkMbps});
  // A survey of many shards occupies a home's processor for milliseconds, which
  // a share of a core multiplies. The fourth power makes a machine with half
  // the share a home only where there are hardly any stronger ones.
  return std::pow(Resources.Cores, 4) * std::max(0.0, Scarcity);
}

/// Weighted rendezvous score: the highest score of a set belongs to each member
/// with a probability in proportion to its weight.
static double rendezvousScore(const InstanceRecord &Instance) {
  // Of the 64 bits of the hash a double holds 53.
  const double Uniform =
      (static_cast<double>(
           XXH3_64bits(Instance.Name.data(), Instance.Name.size()) >> 11) +
       0.5) /
      9007199254740992.0;
  return -Instance.Weight / std::log(Uniform);
}

std::vector<InstanceRecord> selectHomes(const InstanceDirectory &Directory,
                                        const std::string &Zone,
                                        const HomePolicy &Policy) {
  std::vector<InstanceRecord> Out;
  for (const InstanceRecord &Instance : Directory.Instances)
    if (Instance.Zone == Zone && Instance.Weight > 0 &&
        !Instance.LinkAddress.empty())
      Out.push_back(Instance);
  std::sort(Out.begin(), Out.end(),
            [](const InstanceRecord &A, const InstanceRecord &B) {
              const double ScoreA = rendezvousScore(A);
              const double ScoreB = rendezvousScore(B);
              return ScoreA != ScoreB ? ScoreA > ScoreB : A.Name < B.Name;
            });
  if (Out.size() > static_cast<std::size_t>(Policy.AllUpTo))
    Out.resize(std::min(Out.size(), static_cast<std::size_t>(Policy.PerZone)));
  return Out;
}

std::vector<std::string> homeNames(const InstanceDirectory &Directory,
                                   const HomePolicy &Policy) {
  std::set<std::string> Zones;
  for (const InstanceRecord &Instance : Directory.Instances)
    Zones.insert(Instance.Zone);
  std::vector<std::string> Names;
  for (const std::string &Zone : Zones)
    for (const InstanceRecord &Home : selectHomes(Directory, Zone, Policy))
      Names.push_back(Home.Name);
  return Names;
}

bool isHome(const InstanceDirectory &Directory, const std::string &Name,
            const std::string &Zone, const HomePolicy &Policy) {
  const std::vector<InstanceRecord> Homes =
      selectHomes(Directory, Zone, Policy);
  return std::any_of(Homes.begin(), Homes.end(),
                     [&](const InstanceRecord &H) { return H.Name == Name; });
}

RegistrationStep planRegistration(const InstanceDirectory &Directory,
                                  const InstanceRecord &Self,
                                  const HomePolicy &Policy, bool Waited) {
  int Others = 0;
  for (const InstanceRecord &Instance : Directory.Instances) {
    // The entry is from before a restart and ends with its lease.
    if (Instance.Name == Self.Name)
      return RegistrationStep::Register;
    if (Instance.Zone == Self.Zone)
      ++Others;
  }
  if (Others >= Policy.PerZone + Policy.SparesPerZone)
    return RegistrationStep::Stay;
  if (Others == 0 && !Waited)
    return RegistrationStep::WaitFirst;
  return RegistrationStep::Register;
}

Duration registrationDelay(double Weight, double Jitter) {
  // The weight grows with the fourth power of the processor time.
  const Duration ByWeight =
      MinRegistrationDelay / std::pow(std::max(Weight, 1e-9), 0.25);
  return std::min(ByWeight, MaxRegistrationDelay) + RegistrationJitter * Jitter;
}

} // namespace quetzallead
