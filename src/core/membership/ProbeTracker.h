#ifndef QUETZALLEAD_CORE_MEMBERSHIP_PROBETRACKER_H
#define QUETZALLEAD_CORE_MEMBERSHIP_PROBETRACKER_H

#include "absl/container/btree_map.h"
#include "quetzallead/Time.h"
#include <cstdint>
#include <string>
#include <vector>

namespace quetzallead {

/// The pings that wait for an answer, and those sent for other instances.
class ProbeTracker {
public:
  /// Probes whose time is up, by the name of their target.
  struct Overdue {
    /// Not answered at first hand; helpers have to be asked.
    std::vector<std::string> ToAskHelpersFor;
    /// Not answered through helpers either.
    std::vector<std::string> Failed;
  };
  /// A ping sent for another instance.
  struct Relay {
    std::string Requester;
    /// The number of its request.
    std::uint64_t Number = 0;
    TimePoint Until;
  };

  static constexpr std::size_t MaxRelays = 1000;

  /// Waits for \p Target until \p Until, unless it does so already.
  void begin(const std::string &Target, TimePoint Until);
  bool isPending(const std::string &Target) const {
    return Pending.contains(Target);
  }
  /// From now on waits for \p Target's answer through helpers.
  void beginIndirect(const std::string &Target, TimePoint Until);
  /// \p Target is heard of.
  void clear(const std::string &Target) { Pending.erase(Target); }
  /// Removes the failed probes; the others stay until beginIndirect().
  Overdue overdue(TimePoint Now);

  void addRelay(std::uint64_t Number, Relay R);
  /// Removes the relay of ping \p Number and puts it into \p Out.
  bool takeRelay(std::uint64_t Number, Relay &Out);

private:
  struct Probe {
    TimePoint Until;
    bool Indirect = false;
  };
  absl::btree_map<std::string, Probe> Pending;
  absl::btree_map<std::uint64_t, Relay> Relays;
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_MEMBERSHIP_PROBETRACKER_H
