#ifndef QUETZALLEAD_CORE_MEMBERSHIP_MEMBERSHIPOPTIONS_H
#define QUETZALLEAD_CORE_MEMBERSHIP_MEMBERSHIPOPTIONS_H

#include "quetzallead/Time.h"
#include <cstddef>

namespace quetzallead {

/// Times and limits of the membership protocol.
struct MembershipOptions {
  /// Time between two ticks; each sends one ping.
  Duration GossipPeriod = absl::Milliseconds(250);
  /// Time for an answer to a ping, and again through helpers.
  Duration ProbeTimeout = absl::Seconds(1);
  /// Time a suspected instance has for a contradiction.
  Duration SuspicionTimeout = absl::Seconds(6);
  /// Time that a dead instance is remembered.
  Duration TombstoneLife = absl::Minutes(15);
  /// Instances that ping one that does not answer.
  std::size_t Helpers = 3;
  /// Further instances told per tick while there is urgent news.
  std::size_t UrgentFanOut = 3;
  /// News in one message, bytes.
  std::size_t MaxNewsBytes = 1000;
  /// Records in one message of a synchronisation, bytes.
  std::size_t MaxSyncBytes = 8000;
  /// Least time between two synchronisations, and while joining.
  Duration SyncPeriod = absl::Seconds(1);
  Duration JoinSyncPeriod = absl::Milliseconds(250);
  /// Time without news after which differing digests call for one.
  Duration SyncQuietTime = absl::Seconds(2);
  /// Time after which they do in any case.
  Duration SyncPatience = absl::Seconds(10);
  /// Mean time between two attempts to reach an instance believed dead.
  Duration RecontactPeriod = absl::Seconds(2);
  /// Life of a notice that a backend server is dead or back.
  Duration ServerNoticeLife = absl::Seconds(30);
  /// Life of a notice that a backend server is leaving.
  Duration LeavingNoticeLife = absl::Minutes(10);
  /// Least time between two notices of one server by this instance.
  Duration NoticeInterval = absl::Seconds(5);
  /// Life of a departure notice; longer than that of a ticket.
  Duration DepartureLife = absl::Minutes(15);
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_MEMBERSHIP_MEMBERSHIPOPTIONS_H
