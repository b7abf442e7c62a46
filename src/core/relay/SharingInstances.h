#ifndef QUETZALLEAD_CORE_RELAY_SHARINGINSTANCES_H
#define QUETZALLEAD_CORE_RELAY_SHARINGINSTANCES_H

#include "core/relay/ServerLimit.h"
#include "quetzallead/Time.h"
#include <map>
#include <string>
#include <vector>

namespace quetzallead {

/// The instances that divide the limits of backend servers among them.
///
/// Handles directories that list too few instances: after a store has dropped
/// the registrations, each instance registers again at its own time, and one
/// that reads the directory in between would take the shares of the others. An
/// instance therefore counts for a while after the directory lacks it, and a
/// restarted instance takes the count of others if it is higher. Not
/// thread-safe.
class SharingInstances {
public:
  /// \p AssumedCount instances are assumed until the first update().
  SharingInstances(std::string Self, int AssumedCount);

  /// Sets the instances that the directory lists as sharing, and the number of
  /// all that it lists.
  void update(const std::vector<std::string> &Names, int AllInstances,
              TimePoint Now);
  /// Records the count() of another instance.
  void onCountHeard(int Count, TimePoint Now);
  /// Instances that share, as far as this instance knows by itself.
  int count(TimePoint Now) const;
  /// Whether update() has been called.
  bool known() const { return Known; }
  /// Instances among which shares are divided: count(), or that of another
  /// instance if it is higher.
  int sharers(TimePoint Now) const;
  /// The share that this instance has of a limit of \p PerSecond requests per
  /// second at server \p Id.
  LimitShare shareOf(const std::string &Id, double PerSecond,
                     TimePoint Now) const;
  /// Likewise of a limit that at most \p MaxSharers instances may divide.
  LimitShare shareAmong(const std::string &Id, int MaxSharers,
                        TimePoint Now) const;

private:
  bool held(TimePoint MissingSince, TimePoint Now) const;
  /// Whether this instance is one of the \p Sharers chosen for server \p Id.
  bool isChosen(const std::string &Id, int Sharers, TimePoint Now) const;

  const std::string Self;
  const int AssumedCount;
  bool Known = false;
  int AllInstances = 1;
  /// By name: since when the directory lacks the instance; infinite if it does
  /// not.
  std::map<std::string, TimePoint> MissingSince;
  int HeardCount = 0;
  TimePoint HeardAt = absl::InfinitePast();
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_SHARINGINSTANCES_H
