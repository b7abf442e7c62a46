#include "core/relay/HomeSelection.h"
#include <algorithm>
#include <gtest/gtest.h>
#include <random>
#include <set>

using namespace quetzallead;

namespace {

InstanceRecord instance(const std::string &Zone, int Number,
                        double Cores = 0.25) {
  MachineResources Machine;
  Machine.Cores = Cores;
  InstanceRecord Out;
  Out.Name = "front-" + Zone + "-" + std::to_string(Number);
  Out.Zone = Zone;
  Out.LinkAddress = "10.0.0." + std::to_string(Number) + ":1";
  Out.Weight = homeWeight(Machine);
  return Out;
}

InstanceDirectory directory(int PerZone, double Cores = 0.25) {
  InstanceDirectory Out;
  for (const char *Zone : {"a", "b"})
    for (int I = 0; I < PerZone; ++I)
      Out.Instances.push_back(instance(Zone, I, Cores));
  return Out;
}

std::set<std::string> homeNames(const InstanceDirectory &Directory,
                                const std::string &Zone) {
  std::set<std::string> Out;
  for (const InstanceRecord &Home : selectHomes(Directory, Zone, HomePolicy()))
    Out.insert(Home.Name);
  return Out;
}

} // namespace

TEST(HomeSelectionTest, ZoneWithFewInstancesHasAllAsHomes) {
  const InstanceDirectory Directory = directory(3);
  for (const InstanceRecord &I : Directory.Instances)
    EXPECT_TRUE(isHome(Directory, I.Name, I.Zone, HomePolicy()));
}

TEST(HomeSelectionTest, IsTheSameForEveryOrderOfTheDirectory) {
  InstanceDirectory Directory = directory(40);
  const std::set<std::string> Homes = homeNames(Directory, "a");
  EXPECT_EQ(Homes.size(), 2u);
  std::shuffle(Directory.Instances.begin(), Directory.Instances.end(),
               std::mt19937(7));
  EXPECT_EQ(homeNames(Directory, "a"), Homes);
}

TEST(HomeSelectionTest, LossOfAHomeReplacesOnlyThatHome) {
  InstanceDirectory Directory = directory(40);
  const std::set<std::string> Before = homeNames(Directory, "a");
  const std::string Lost = *Before.begin();
  Directory.Instances.erase(
      std::find_if(Directory.Instances.begin(), Directory.Instances.end(),
                   [&](const InstanceRecord &I) { return I.Name == Lost; }));
  const std::set<std::string> After = homeNames(Directory, "a");
  EXPECT_EQ(After.size(), 2u);
  EXPECT_EQ(After.count(Lost), 0u);
  std::set<std::string> Kept;
  std::set_intersection(Before.begin(), Before.end(), After.begin(),
                        After.end(), std::inserter(Kept, Kept.begin()));
  EXPECT_EQ(Kept.size(), 1u);
}

TEST(HomeSelectionTest, PrefersMachinesWithMoreProcessorTime) {
  InstanceDirectory Directory;
  int StrongHomes = 0;
  constexpr int Zones = 50;
  for (int Zone = 0; Zone < Zones; ++Zone)
    for (int I = 0; I < 20; ++I)
      Directory.Instances.push_back(
          instance("z" + std::to_string(Zone), I, I < 6 ? 0.5 : 0.12));
  for (int Zone = 0; Zone < Zones; ++Zone)
    for (const InstanceRecord &Home :
         selectHomes(Directory, "z" + std::to_string(Zone), HomePolicy()))
      StrongHomes += Home.Weight > homeWeight({0.25, 1024, 4096, 1000});
  // Six of twenty machines are strong, and two are chosen in each zone.
  EXPECT_GE(StrongHomes, Zones * 2 * 9 / 10);
}

TEST(HomeSelectionTest, ScarceMemoryLowersTheWeight) {
  EXPECT_LT(homeWeight({0.5, 32, 4096, 1000}),
            homeWeight({0.5, 256, 4096, 1000}));
  EXPECT_EQ(homeWeight({0.5, 0, 4096, 1000}), 0);
}

TEST(HomeSelectionTest, InstanceWithoutLinkIsNoHome) {
  InstanceDirectory Directory = directory(2);
  for (InstanceRecord &I : Directory.Instances)
    I.LinkAddress.clear();
  EXPECT_TRUE(selectHomes(Directory, "a", HomePolicy()).empty());
}

TEST(HomeSelectionTest, EnoughInstancesOfTheZoneNeedNoMore) {
  const HomePolicy Policy;
  const InstanceRecord Self = instance("a", 100);
  EXPECT_EQ(planRegistration(directory(5), Self, Policy, false),
            RegistrationStep::Stay);
  EXPECT_EQ(planRegistration(directory(4), Self, Policy, false),
            RegistrationStep::Register);
  EXPECT_EQ(planRegistration(directory(0), Self, Policy, false),
            RegistrationStep::WaitFirst);
  EXPECT_EQ(planRegistration(directory(0), Self, Policy, true),
            RegistrationStep::Register);
}

TEST(HomeSelectionTest, RestartedInstanceRegistersAgainAtOnce) {
  const InstanceDirectory Directory = directory(40);
  EXPECT_EQ(
      planRegistration(Directory, Directory.Instances[7], HomePolicy(), false),
      RegistrationStep::Register);
}

// All instances of a large zone start at once with an empty directory, and each
// call to the store takes 4 ms.
TEST(HomeSelectionTest, FewInstancesRegisterWhenAllStartAtOnce) {
  constexpr int Instances = 40;
  const Duration CallTime = absl::Milliseconds(4);
  const HomePolicy Policy;
  for (int Seed = 0; Seed < 50; ++Seed) {
    std::mt19937 Engine(static_cast<unsigned>(Seed));
    std::uniform_real_distribution<double> Jitter(0, 1);
    struct Start {
      Duration ReadAt;
      InstanceRecord Self;
    };
    std::vector<Start> Starts;
    for (int I = 0; I < Instances; ++I) {
      const InstanceRecord Self = instance("a", I, I % 4 == 0 ? 0.5 : 0.12);
      Starts.push_back({registrationDelay(Self.Weight, Jitter(Engine)), Self});
    }
    std::sort(Starts.begin(), Starts.end(), [](const Start &A, const Start &B) {
      return A.ReadAt < B.ReadAt;
    });
    std::vector<Start> Registered;
    for (const Start &S : Starts) {
      InstanceDirectory Seen;
      for (const Start &R : Registered)
        if (R.ReadAt <= S.ReadAt)
          Seen.Instances.push_back(R.Self);
      if (planRegistration(Seen, S.Self, Policy, true) ==
          RegistrationStep::Register)
        // The lease and the registration follow the read.
        Registered.push_back({S.ReadAt + CallTime * 3, S.Self});
    }
    EXPECT_GE(Registered.size(), 5u);
    EXPECT_LE(Registered.size(), 12u) << Seed;
  }
}
