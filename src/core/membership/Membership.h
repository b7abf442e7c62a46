#ifndef QUETZALLEAD_CORE_MEMBERSHIP_MEMBERSHIP_H
#define QUETZALLEAD_CORE_MEMBERSHIP_MEMBERSHIP_H

#include "core/membership/ListedInstance.h"
#include "core/membership/MemberTable.h"
#include "core/membership/MembershipAction.h"
#include "core/membership/MembershipOptions.h"
#include "core/membership/NewsQueue.h"
#include "core/membership/NoticeBoard.h"
#include "core/membership/PartnerSet.h"
#include "core/membership/ProbeTracker.h"
#include "quetzallead/Time.h"
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace quetzallead {

/// What one instance knows of the others and of the notices that they spread.
///
/// Instances ping each other and carry news along. One that answers neither by
/// itself nor through helpers is suspected, and taken for dead unless it
/// contradicts in time. What was missed is found by digests and exchanged. The
/// instance list only shows whom to ask; nothing is believed for its sake.
///
/// Not thread-safe. The host calls tick() every GossipPeriod and carries out
/// the actions that each call returns.
class Membership {
public:
  /// \p Self names this instance; its incarnation must be greater than at
  /// earlier starts and not 0, for example the start time in milliseconds.
  Membership(MembershipOptions Opts, MemberRecord Self,
             std::mt19937_64 RandomEngine, TimePoint Now);

  MembershipActions tick(TimePoint Now);
  MembershipActions received(const GossipMessage &Message, TimePoint Now);
  /// A connection to the peer failed or was closed: checks on it at once.
  MembershipActions peerUnreachable(const std::string &Name, TimePoint Now);
  /// A peer proved on a link that it is the instance and incarnation of
  /// \p Peer; says nothing about other members.
  MembershipActions introduced(const MemberRecord &Peer, TimePoint Now);
  /// The whole instance list as it was read last.
  MembershipActions listed(const std::vector<ListedInstance> &List,
                           TimePoint Now);

  /// This instance now has sheet \p Revision in force.
  void setSheetRevision(std::uint64_t Revision, TimePoint Now);
  /// This instance stops as planned and takes no new work.
  MembershipActions leave(TimePoint Now);
  /// \p Successors answer for this incarnation's tickets.
  MembershipActions depart(std::vector<std::string> Successors, TimePoint Now);
  /// Tells all what this instance found out about a backend server. Does
  /// nothing if that holds already, or so soon after its last word on it.
  MembershipActions noticeServer(const std::string &Server,
                                 ServerNoticeState State, TimePoint Now);

  const MemberRecord &self() const { return Self; }
  const MemberTable &members() const { return Members; }
  const NoticeBoard &notices() const { return Notices; }
  const std::vector<std::string> &partners() const { return Partners.names(); }
  /// Digest of all that is believed; equal where the beliefs are.
  std::uint64_t digest() const;
  /// The greatest sheet revision that any instance has in force.
  std::uint64_t greatestSheetRevision() const;
  /// Rank of this instance, from 0, for \p Duty among the live instances of its
  /// zone; none if it is leaving. Two instances may rank first for a while.
  std::optional<std::size_t> rankOf(const std::string &Duty) const;
  /// Up to \p Count live instances by rank for \p Duty, other zones first.
  std::vector<std::string> successorsFor(const std::string &Duty,
                                         std::size_t Count) const;

private:
  void learn(const MemberRecord &Said, MembershipActions &Out, TimePoint Now);
  void learnOfSelf(const MemberRecord &Said, MembershipActions &Out,
                   TimePoint Now);
  void learn(const SheetReport &Report, MembershipActions &Out, TimePoint Now);
  void learn(const ServerNotice &Notice, MembershipActions &Out, TimePoint Now);
  void learn(const DepartureNotice &Notice, TimePoint Now);
  void learnAll(const GossipMessage &Message, MembershipActions &Out,
                TimePoint Now);
  void heard(const MemberRecord &Sender);

  void changeHealth(const std::string &Name, MemberState Health,
                    MembershipActions &Out, TimePoint Now);
  void checkProbes(MembershipActions &Out, TimePoint Now);
  void askHelpers(const std::string &Target, MembershipActions &Out,
                  TimePoint Now);
  void ageMembers(MembershipActions &Out, TimePoint Now);
  void ageNotices(MembershipActions &Out, TimePoint Now);
  void pingNext(MembershipActions &Out, TimePoint Now);
  void pushUrgent(MembershipActions &Out, TimePoint Now);
  void recontact(MembershipActions &Out);
  void publishSelf(TimePoint Now);

  void answerPing(const GossipMessage &Ping, MembershipActions &Out);
  void acceptAck(const GossipMessage &Ack, MembershipActions &Out);
  void pingFor(const GossipMessage &Request, MembershipActions &Out,
               TimePoint Now);
  void maybeSync(const GossipMessage &Message, MembershipActions &Out,
                 TimePoint Now);
  void answerSyncRequest(const GossipMessage &Request, MembershipActions &Out,
                         TimePoint Now);
  void answerSync(const GossipMessage &Sync, MembershipActions &Out);

  GossipMessage message(GossipKind Kind, std::uint64_t Number) const;
  /// Sends with news; \p Out gets the action if the peer's address is known.
  void send(const std::string &To, GossipMessage Message,
            MembershipActions &Out);
  void sendBare(const std::string &To, GossipMessage Message,
                MembershipActions &Out) const;
  int maxSends() const;

  MembershipOptions Options;
  MemberRecord Self;
  std::mt19937_64 Engine;
  MemberTable Members;
  NoticeBoard Notices;
  NewsQueue News;
  PartnerSet Partners;
  ProbeTracker Probes;
  /// Time of this instance's last word on a server.
  absl::btree_map<std::string, TimePoint> OwnNotices;
  std::uint64_t NextNumber = 1;
  std::uint64_t SupersededBy = 0;
  bool PartnersStale = true;
  bool Joining = true;
  TimePoint LastLearned = absl::InfinitePast();
  TimePoint LastSync = absl::InfinitePast();
  TimePoint LastSyncAnswer = absl::InfinitePast();
  TimePoint RotateAt = absl::InfinitePast();
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_MEMBERSHIP_MEMBERSHIP_H
