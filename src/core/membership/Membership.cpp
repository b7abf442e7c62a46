#include "core/membership/Membership.h"

#include "core/membership/GossipSync.h"
#include "core/membership/Rendezvous.h"
#include <algorithm>
#include <cmath>

namespace quetzallead {
namespace {

/// News is sent this many times the logarithm of the number of instances.
constexpr double SendsPerLog = 2.0;
constexpr int LeastSends = 3;

NewsQueue::Key memberNews(const std::string &Name) {
  return {NewsKind::Member, Name, 0};
}

NewsQueue::Key sheetNews(const std::string &Name) {
  return {NewsKind::Sheet, Name, 0};
}

NewsQueue::Key serverNews(const std::string &Name) {
  return {NewsKind::Server, Name, 0};
}

} // namespace

Membership::Membership(MembershipOptions Opts, MemberRecord SelfRecord,
                       std::mt19937_64 RandomEngine, TimePoint Now)
    : Options(Opts), Self(std::move(SelfRecord)), Engine(RandomEngine) {
  publishSelf(Now);
}

// Events of time

MembershipActions Membership::tick(TimePoint Now) {
  MembershipActions Out;
  checkProbes(Out, Now);
  ageMembers(Out, Now);
  ageNotices(Out, Now);
  if (PartnersStale || Now >= RotateAt) {
    Partners.refresh(Members, Self, Now, Engine);
    PartnersStale = false;
    RotateAt = Now + PartnerSet::rotationPeriod();
  }
  pingNext(Out, Now);
  pushUrgent(Out, Now);
  recontact(Out);
  return Out;
}

void Membership::checkProbes(MembershipActions &Out, TimePoint Now) {
  const ProbeTracker::Overdue Overdue = Probes.overdue(Now);
  for (const std::string &Target : Overdue.ToAskHelpersFor)
    askHelpers(Target, Out, Now);
  for (const std::string &Target : Overdue.Failed)
    changeHealth(Target, MemberState::Suspect, Out, Now);
}

void Membership::askHelpers(const std::string &Target, MembershipActions &Out,
                            TimePoint Now) {
  Probes.beginIndirect(Target, Now + Options.ProbeTimeout);
  send(Target, message(GossipKind::Ping, NextNumber++), Out);
  for (const std::string &Helper :
       Partners.some(Options.Helpers, Target, Engine)) {
    GossipMessage Request = message(GossipKind::PingRequest, NextNumber++);
    Request.Target = Target;
    send(Helper, std::move(Request), Out);
  }
}

void Membership::changeHealth(const std::string &Name, MemberState Health,
                              MembershipActions &Out, TimePoint Now) {
  const MemberTable::Entry *E = Members.find(Name);
  if (!E || E->Record.Health >= Health)
    return;
  MemberRecord Record = E->Record;
  Record.Health = Health;
  Members.put(Record, Now);
  News.add(memberNews(Name), true);
  PartnersStale = true;
  LastLearned = Now;
  Out.push_back(MemberChanged{std::move(Record)});
}

void Membership::ageMembers(MembershipActions &Out, TimePoint Now) {
  std::vector<std::string> ToDeclareDead;
  std::vector<std::string> ToForget;
  for (const auto &[Name, E] : Members.entries()) {
    const Duration Age = Now - E.Since;
    if (E.Record.Health == MemberState::Suspect &&
        Age >= Options.SuspicionTimeout)
      ToDeclareDead.push_back(Name);
    if (E.Record.Health == MemberState::Dead && !E.Listed &&
        Age >= Options.TombstoneLife)
      ToForget.push_back(Name);
  }
  for (const std::string &Name : ToDeclareDead)
    changeHealth(Name, MemberState::Dead, Out, Now);
  for (const std::string &Name : ToForget)
    Members.erase(Name);
}

void Membership::ageNotices(MembershipActions &Out, TimePoint Now) {
  for (ServerNotice &Notice : Notices.expire(Now)) {
    if (Notice.State == ServerNoticeState::Back)
      continue;
    Notice.State = ServerNoticeState::Back;
    Out.push_back(ServerNoticeChanged{std::move(Notice)});
  }
  for (auto It = OwnNotices.begin(); It != OwnNotices.end();)
    It = Now - It->second >= Options.NoticeInterval ? OwnNotices.erase(It)
                                                    : std::next(It);
}

void Membership::pingNext(MembershipActions &Out, TimePoint Now) {
  const std::string Target = Partners.next();
  if (Target.empty())
    return;
  Probes.begin(Target, Now + Options.ProbeTimeout);
  send(Target, message(GossipKind::Ping, NextNumber++), Out);
}

void Membership::pushUrgent(MembershipActions &Out, TimePoint) {
  if (!News.hasUrgent())
    return;
  for (const std::string &To :
       Partners.some(Options.UrgentFanOut, std::string(), Engine))
    send(To, message(GossipKind::Push, 0), Out);
}

/// Pings now and then one that is believed dead: after a cut nobody else would
/// begin to talk to it.
void Membership::recontact(MembershipActions &Out) {
  const auto TicksBetween = static_cast<std::uint64_t>(Options.RecontactPeriod /
                                                       Options.GossipPeriod);
  if (TicksBetween > 1 && Engine() % TicksBetween != 0)
    return;
  std::vector<const MemberRecord *> Lost;
  for (const auto &[Name, E] : Members.entries())
    if (!E.Record.isPresent())
      Lost.push_back(&E.Record);
  if (Lost.empty())
    return;
  const std::string To = Lost[Engine() % Lost.size()]->Name;
  send(To, message(GossipKind::Ping, NextNumber++), Out);
}

// Events of this instance

void Membership::publishSelf(TimePoint Now) {
  Members.put(Self, Now);
  News.add(memberNews(Self.Name), true);
}

void Membership::setSheetRevision(std::uint64_t Revision, TimePoint Now) {
  if (Revision <= Self.SheetRevision)
    return;
  Self.SheetRevision = Revision;
  Members.put(Self, Now);
  News.add(sheetNews(Self.Name), false);
}

MembershipActions Membership::leave(TimePoint Now) {
  MembershipActions Out;
  Self.Leaving = true;
  publishSelf(Now);
  pushUrgent(Out, Now);
  return Out;
}

MembershipActions Membership::depart(std::vector<std::string> Successors,
                                     TimePoint Now) {
  MembershipActions Out;
  DepartureNotice Notice;
  Notice.Instance = Self.Name;
  Notice.Incarnation = Self.Incarnation;
  Notice.Successors = std::move(Successors);
  if (Notice.Successors.size() > DepartureNotice::MaxSuccessors)
    Notice.Successors.resize(DepartureNotice::MaxSuccessors);
  Notice.Expires = Now + Options.DepartureLife;
  learn(Notice, Now);
  pushUrgent(Out, Now);
  return Out;
}

MembershipActions Membership::noticeServer(const std::string &Server,
                                           ServerNoticeState State,
                                           TimePoint Now) {
  MembershipActions Out;
  const ServerNotice *Held = Notices.server(Server);
  const bool Holds =
      Held ? Held->State == State : State == ServerNoticeState::Back;
  const bool Renewal = Holds && Held && State != ServerNoticeState::Back &&
                       Held->Expires - Now < Options.ServerNoticeLife / 3;
  if ((Holds && !Renewal) || OwnNotices.contains(Server) ||
      Server.size() > ServerNotice::MaxNameBytes)
    return Out;
  ServerNotice Notice;
  Notice.Server = Server;
  Notice.State = State;
  // Wall time orders notices of instances that did not hear of each other.
  Notice.Revision = static_cast<std::uint64_t>(absl::ToUnixMillis(Now));
  if (Held)
    Notice.Revision = std::max(Notice.Revision, Held->Revision + 1);
  Notice.Expires =
      Now + (State == ServerNoticeState::Leaving ? Options.LeavingNoticeLife
                                                 : Options.ServerNoticeLife);
  OwnNotices[Server] = Now;
  learn(Notice, Out, Now);
  pushUrgent(Out, Now);
  return Out;
}

// Events of the platform and of connections

MembershipActions Membership::listed(const std::vector<ListedInstance> &List,
                                     TimePoint Now) {
  MembershipActions Out;
  absl::btree_map<std::string, const ListedInstance *> ByName;
  for (const ListedInstance &L : List)
    ByName.emplace(L.Name, &L);
  std::vector<std::string> Unlisted;
  for (const auto &[Name, E] : Members.entries())
    if (!ByName.contains(Name) && Name != Self.Name)
      Unlisted.push_back(Name);
  for (const std::string &Name : Unlisted) {
    // What only the list knew of is gone with its entry.
    if (Members.find(Name)->Record.Incarnation == 0)
      Members.erase(Name);
    else
      Members.setListed(Name, false);
    PartnersStale = true;
  }
  for (const auto &[Name, L] : ByName) {
    if (Name == Self.Name)
      continue;
    if (!Members.find(Name)) {
      MemberRecord Record;
      Record.Name = Name;
      Record.Address = L->Address;
      Record.Zone = L->Zone;
      Record.Leaving = L->Leaving;
      Members.apply(Record, Now);
      PartnersStale = true;
      Out.push_back(MemberChanged{std::move(Record)});
    }
    Members.setListed(Name, true);
  }
  return Out;
}

MembershipActions Membership::introduced(const MemberRecord &Peer,
                                         TimePoint Now) {
  MembershipActions Out;
  learn(Peer, Out, Now);
  return Out;
}

MembershipActions Membership::peerUnreachable(const std::string &Name,
                                              TimePoint Now) {
  MembershipActions Out;
  const MemberTable::Entry *E = Members.find(Name);
  if (E && E->Record.Health == MemberState::Alive && !Probes.isPending(Name))
    askHelpers(Name, Out, Now);
  return Out;
}

// What others say

void Membership::learn(const MemberRecord &Said, MembershipActions &Out,
                       TimePoint Now) {
  if (Said.Name == Self.Name)
    return learnOfSelf(Said, Out, Now);
  const MemberChange Change = Members.apply(Said, Now);
  if (Change == MemberChange::None)
    return;
  const bool Major = Change == MemberChange::Major;
  LastLearned = Now;
  News.add(Major ? memberNews(Said.Name) : sheetNews(Said.Name), Major);
  PartnersStale |= Major;
  Out.push_back(MemberChanged{Members.find(Said.Name)->Record});
}

void Membership::learnOfSelf(const MemberRecord &Said, MembershipActions &Out,
                             TimePoint Now) {
  if (Said.Incarnation > Self.Incarnation) {
    if (Said.Incarnation > SupersededBy)
      Out.push_back(Superseded{Said.Incarnation});
    SupersededBy = std::max(SupersededBy, Said.Incarnation);
    return;
  }
  const bool Wrong = Said.Incarnation == Self.Incarnation &&
                     Said.Health != MemberState::Alive &&
                     Said.Revision >= Self.Revision;
  if (!Wrong)
    return;
  Self.Revision = Said.Revision + 1;
  publishSelf(Now);
}

void Membership::learn(const SheetReport &Report, MembershipActions &Out,
                       TimePoint Now) {
  const MemberTable::Entry *E = Members.find(Report.Instance);
  // Without its record a report says nothing; the record will bring it.
  if (!E || incarnationTag(E->Record.Incarnation) != Report.IncarnationTag)
    return;
  MemberRecord Said = E->Record;
  Said.SheetRevision = std::max(Said.SheetRevision, Report.SheetRevision);
  learn(Said, Out, Now);
}

void Membership::learn(const ServerNotice &Notice, MembershipActions &Out,
                       TimePoint Now) {
  if (!Notices.apply(Notice, Now))
    return;
  LastLearned = Now;
  News.add(serverNews(Notice.Server), true);
  Out.push_back(ServerNoticeChanged{Notice});
}

void Membership::learn(const DepartureNotice &Notice, TimePoint Now) {
  if (!Notices.apply(Notice, Now))
    return;
  LastLearned = Now;
  News.add({NewsKind::Departure, Notice.Instance, Notice.Incarnation}, true);
}

void Membership::learnAll(const GossipMessage &Message, MembershipActions &Out,
                          TimePoint Now) {
  learn(Message.Sender, Out, Now);
  for (const MemberRecord &Record : Message.Members)
    learn(Record, Out, Now);
  for (const SheetReport &Report : Message.Sheets)
    learn(Report, Out, Now);
  for (const ServerNotice &Notice : Message.Servers)
    learn(Notice, Out, Now);
  for (const DepartureNotice &Notice : Message.Departures)
    learn(Notice, Now);
}

void Membership::heard(const MemberRecord &Sender) {
  const MemberTable::Entry *E = Members.find(Sender.Name);
  // An earlier incarnation proves nothing about the present one.
  if (E && E->Record.Incarnation == Sender.Incarnation)
    Probes.clear(Sender.Name);
}

MembershipActions Membership::received(const GossipMessage &Message,
                                       TimePoint Now) {
  MembershipActions Out;
  if (Message.Sender.Name == Self.Name) {
    learnOfSelf(Message.Sender, Out, Now);
    return Out;
  }
  learnAll(Message, Out, Now);
  heard(Message.Sender);
  switch (Message.Kind) {
  case GossipKind::Ping:
    answerPing(Message, Out);
    maybeSync(Message, Out, Now);
    break;
  case GossipKind::Ack:
    acceptAck(Message, Out);
    maybeSync(Message, Out, Now);
    break;
  case GossipKind::PingRequest:
    pingFor(Message, Out, Now);
    break;
  case GossipKind::SyncRequest:
    answerSyncRequest(Message, Out, Now);
    break;
  case GossipKind::Sync:
    answerSync(Message, Out);
    break;
  case GossipKind::Push:
  case GossipKind::SyncEnd:
    break;
  }
  return Out;
}

void Membership::answerPing(const GossipMessage &Ping, MembershipActions &Out) {
  send(Ping.Sender.Name, message(GossipKind::Ack, Ping.Number), Out);
}

void Membership::acceptAck(const GossipMessage &Ack, MembershipActions &Out) {
  if (!Ack.Target.empty()) {
    Probes.clear(Ack.Target);
    return;
  }
  ProbeTracker::Relay Relay;
  if (!Probes.takeRelay(Ack.Number, Relay))
    return;
  GossipMessage Report = message(GossipKind::Ack, Relay.Number);
  Report.Target = Ack.Sender.Name;
  send(Relay.Requester, std::move(Report), Out);
}

void Membership::pingFor(const GossipMessage &Request, MembershipActions &Out,
                         TimePoint Now) {
  ProbeTracker::Relay Relay;
  Relay.Requester = Request.Sender.Name;
  Relay.Number = Request.Number;
  Relay.Until = Now + Options.ProbeTimeout;
  const std::uint64_t Number = NextNumber++;
  Probes.addRelay(Number, std::move(Relay));
  send(Request.Target, message(GossipKind::Ping, Number), Out);
}

// Synchronisation

void Membership::maybeSync(const GossipMessage &Message, MembershipActions &Out,
                           TimePoint Now) {
  if (Message.Digest == digest()) {
    Joining = false;
    return;
  }
  const Duration SinceLast = Now - LastSync;
  const Duration Period = Joining ? Options.JoinSyncPeriod : Options.SyncPeriod;
  const bool Quiet = Joining || Now - LastLearned >= Options.SyncQuietTime ||
                     SinceLast >= Options.SyncPatience;
  if (SinceLast < Period || !Quiet)
    return;
  LastSync = Now;
  GossipMessage Request = message(GossipKind::SyncRequest, 0);
  addDigests(Request, Members, Notices);
  sendBare(Message.Sender.Name, std::move(Request), Out);
}

void Membership::answerSyncRequest(const GossipMessage &Request,
                                   MembershipActions &Out, TimePoint Now) {
  if (Now - LastSyncAnswer < Options.JoinSyncPeriod)
    return;
  GossipMessage Answer = message(GossipKind::Sync, 0);
  const std::size_t First = Engine() % GossipMessage::BucketCount;
  if (!addDifferingBuckets(Answer, Request, Members, Notices, First,
                           Options.MaxSyncBytes))
    return;
  LastSyncAnswer = Now;
  sendBare(Request.Sender.Name, std::move(Answer), Out);
}

void Membership::answerSync(const GossipMessage &Sync, MembershipActions &Out) {
  GossipMessage Answer = message(GossipKind::SyncEnd, 0);
  if (addNewerThan(Answer, Sync, Members, Notices, Options.MaxSyncBytes))
    sendBare(Sync.Sender.Name, std::move(Answer), Out);
}

// Sending

GossipMessage Membership::message(GossipKind Kind, std::uint64_t Number) const {
  GossipMessage Message;
  Message.Kind = Kind;
  Message.Number = Number;
  Message.Sender = Self;
  Message.Digest = digest();
  return Message;
}

void Membership::send(const std::string &To, GossipMessage Message,
                      MembershipActions &Out) {
  // One that is doubted or replaced hears so at first hand, to contradict.
  const MemberTable::Entry *E = Members.find(To);
  if (E && E->Record.Health != MemberState::Alive)
    Message.Members.push_back(E->Record);
  News.fill(Message, Members, Notices, Options.MaxNewsBytes, maxSends());
  sendBare(To, std::move(Message), Out);
}

void Membership::sendBare(const std::string &To, GossipMessage Message,
                          MembershipActions &Out) const {
  const MemberTable::Entry *E = Members.find(To);
  if (!E || To == Self.Name)
    return;
  Out.push_back(SendGossip{To, E->Record.Address, std::move(Message)});
}

int Membership::maxSends() const {
  const double Log =
      std::log2(static_cast<double>(Members.entries().size() + 1));
  return LeastSends + static_cast<int>(std::ceil(SendsPerLog * Log));
}

// What is known

std::uint64_t Membership::digest() const {
  return Members.digests().total() ^ Notices.digests().total();
}

std::uint64_t Membership::greatestSheetRevision() const {
  std::uint64_t Greatest = Self.SheetRevision;
  for (const auto &[Name, E] : Members.entries())
    if (E.Record.isPresent())
      Greatest = std::max(Greatest, E.Record.SheetRevision);
  return Greatest;
}

std::optional<std::size_t> Membership::rankOf(const std::string &Duty) const {
  if (!Self.isLive())
    return std::nullopt;
  const std::uint64_t Own = rendezvousWeight(Duty, Self.Name);
  std::size_t Rank = 0;
  for (const auto &[Name, E] : Members.entries()) {
    const MemberRecord &R = E.Record;
    const bool Competes = R.Zone == Self.Zone && R.isLive() &&
                          R.Incarnation != 0 && Name != Self.Name;
    if (Competes && rendezvousWeight(Duty, Name) > Own)
      ++Rank;
  }
  return Rank;
}

std::vector<std::string> Membership::successorsFor(const std::string &Duty,
                                                   std::size_t Count) const {
  // In the order of weight, the first of each zone goes before all seconds.
  absl::btree_map<std::pair<std::uint64_t, std::string>, std::string> ByWeight;
  for (const auto &[Name, E] : Members.entries())
    if (Name != Self.Name && E.Record.Incarnation != 0 &&
        E.Record.Health == MemberState::Alive && E.Record.isLive())
      ByWeight.emplace(std::make_pair(~rendezvousWeight(Duty, Name), Name),
                       E.Record.Zone);
  absl::btree_map<std::string, std::size_t> TakenByZone;
  absl::btree_map<std::pair<std::size_t, std::uint64_t>, std::string> Order;
  for (const auto &[Key, Zone] : ByWeight) {
    const std::size_t InZone = TakenByZone[Zone]++;
    Order.emplace(std::make_pair(InZone, Key.first), Key.second);
  }
  std::vector<std::string> Names;
  for (const auto &[Key, Name] : Order)
    if (Names.size() < Count)
      Names.push_back(Name);
  return Names;
}

} // namespace quetzallead
