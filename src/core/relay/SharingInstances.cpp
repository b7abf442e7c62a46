#include "core/relay/SharingInstances.h"
#include <algorithm>
#include <xxhash.h>

namespace quetzallead {

/// How long an instance counts after the directory lacks it. An instance whose
/// registration was dropped notices when it renews its lease, and is listed in
/// the directories that others read within a renewal after that.
static constexpr Duration MissingHoldTime = absl::Seconds(30);
/// How long the count of another instance holds. Instances poll each other
/// several times in it.
static constexpr Duration HeardHoldTime = absl::Seconds(10);

SharingInstances::SharingInstances(std::string GivenSelf, int GivenAssumedCount)
    : Self(std::move(GivenSelf)), AssumedCount(GivenAssumedCount),
      AllInstances(GivenAssumedCount) {}

bool SharingInstances::held(TimePoint Since, TimePoint Now) const {
  return Now - Since < MissingHoldTime;
}

void SharingInstances::update(const std::vector<std::string> &Names,
                              int GivenAllInstances, TimePoint Now) {
  Known = true;
  AllInstances = std::max(1, GivenAllInstances);
  for (auto &[Name, Since] : MissingSince)
    Since = std::min(Since, Now);
  for (const std::string &Name : Names)
    MissingSince[Name] = absl::InfiniteFuture();
  for (auto It = MissingSince.begin(); It != MissingSince.end();)
    It = held(It->second, Now) ? std::next(It) : MissingSince.erase(It);
}

void SharingInstances::onCountHeard(int Count, TimePoint Now) {
  if (Count < HeardCount && Now - HeardAt < HeardHoldTime)
    return;
  HeardCount = Count;
  HeardAt = Now;
}

int SharingInstances::count(TimePoint Now) const {
  if (!Known)
    return AssumedCount;
  const auto Held =
      std::count_if(MissingSince.begin(), MissingSince.end(),
                    [&](const auto &Item) { return held(Item.second, Now); });
  return std::max(1, static_cast<int>(Held));
}

bool SharingInstances::isChosen(const std::string &Id, int Sharers,
                                TimePoint Now) const {
  auto Rank = [&](const std::string &Name) {
    return XXH3_64bits_withSeed(Name.data(), Name.size(),
                                XXH3_64bits(Id.data(), Id.size()));
  };
  const auto Own = Rank(Self);
  const auto Before = std::count_if(
      MissingSince.begin(), MissingSince.end(), [&](const auto &Item) {
        return held(Item.second, Now) && Rank(Item.first) < Own;
      });
  return Before < Sharers;
}

int SharingInstances::sharers(TimePoint Now) const {
  const bool Heard = Now - HeardAt < HeardHoldTime;
  return std::max(count(Now), Heard ? HeardCount : 1);
}

LimitShare SharingInstances::shareOf(const std::string &Id, double PerSecond,
                                     TimePoint Now) const {
  return shareAmong(Id, maxLimitSharers(PerSecond), Now);
}

LimitShare SharingInstances::shareAmong(const std::string &Id, int MaxSharers,
                                        TimePoint Now) const {
  const int Count = sharers(Now);
  const int Sharers = std::min(Count, MaxSharers);
  LimitShare Share;
  Share.Sharers = Sharers;
  Share.Fraction = 1.0 / Sharers;
  if (Known && MissingSince.count(Self) == 0) {
    // It serves only while no sharing instance can be reached, like the others
    // that do not share.
    Share.Sharers = std::max(Count, AllInstances);
    Share.Fraction = 1.0 / Share.Sharers;
  } else if (Sharers < Count && !isChosen(Id, Sharers, Now)) {
    Share.Fraction = 0;
  }
  return Share;
}

} // namespace quetzallead
