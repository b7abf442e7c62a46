#include "daemon/FleetService.h"
#include "absl/strings/str_cat.h"
#include "core/command/Ticket.h"
#include "core/membership/GossipCodec.h"
#include "daemon/JsonResponse.h"
#include "daemon/Settings.h"
#include "runtime/Logger.h"
#include <algorithm>

namespace quetzallead {

using nlohmann::json;

/// Frames that wait for one link; more are dropped, oldest first.
static constexpr std::size_t MaxParked = 64;
/// Time a frame without an answer waits for its link.
static constexpr Duration ParkTime = absl::Seconds(1);
static constexpr const char *SuccessorDuty = "successor";

static MemberRecord selfRecord(const Settings &S, std::uint64_t Incarnation) {
  MemberRecord Self;
  Self.Name = S.Instance;
  Self.Address = S.PeerListen;
  Self.Zone = S.Zone;
  Self.Incarnation = Incarnation;
  return Self;
}

FleetService::FleetService(const Settings &S, std::uint64_t Incarnation,
                           TimerService &TimerPart, FleetHandlers Do)
    : Timers(TimerPart), Handlers(std::move(Do)), Seeds(S.Peers),
      Listen(S.PeerListen),
      Members(MembershipOptions(), selfRecord(S, Incarnation),
              std::mt19937_64(Incarnation), Timers.now()) {}

FleetService::~FleetService() { stop(); }

Result<void> FleetService::start(const std::vector<std::string> &PeerKeys) {
  PeerTransportOptions Options;
  Options.Listen = Listen;
  Options.Keys = PeerKeys;
  {
    PosixMutexLock Lock(&Mutex);
    const MemberRecord &Self = Members.self();
    Options.Self =
        PeerIdentity{Self.Name, Self.Zone, Self.Incarnation, Self.Address};
  }
  PeerTransportHandlers Do;
  Do.OnConnected = [this](PeerId Id, const PeerIdentity &Peer) {
    onConnected(Id, Peer);
  };
  Do.OnDisconnected = [this](PeerId Id, const std::string &Reason) {
    logEvent(LogLevel::Debug, "peer_disconnected", {{"reason", Reason}});
    onDisconnected(Id);
  };
  Do.OnConnectFailed = [this](const std::string &Address, const std::string &) {
    onConnectFailed(Address);
  };
  Do.OnFrame = [this](PeerId, const PeerFrame &Frame) { onFrame(Frame); };
  Do.OnCall = [this](PeerId, const PeerFrame &Frame,
                     PeerTransportHandlers::Responder Respond) {
    if (Quiet)
      return Respond(nullptr);
    Handlers.OnCall(Frame.Type, Frame.Body, std::move(Respond));
  };
  Do.OnRefused = [](const std::string &Event, const std::string &Remote,
                    const std::string &Detail) {
    logEvent(LogLevel::Warning, Event,
             {{"remote", Remote}, {"detail", Detail}});
  };
  Result<std::unique_ptr<PeerTransport>> Made =
      PeerTransport::make(std::move(Options), std::move(Do), Timers);
  if (!Made)
    return Made.error();
  Transport = std::move(Made.value());
  for (const std::string &Seed : Seeds)
    Transport->connect(Seed);
  Ticker = Timers.every(MembershipOptions().GossipPeriod,
                        [this](TimePoint Now) { tick(Now); });
  return {};
}

void FleetService::stop() {
  // Links that close tell this object, which must not answer by the transport
  // that is being taken apart.
  Quiet = true;
  Ticker.reset();
  // The transport lives on until this object ends: its own thread may still be
  // in a handler that has passed the check of Quiet and uses it.
  if (Transport != nullptr)
    Transport->stop();
  std::vector<PeerCallDone> Abandoned;
  {
    PosixMutexLock Lock(&Mutex);
    for (auto &[Name, Queue] : ParkedFor)
      for (Parked &Item : Queue)
        if (Item.Done)
          Abandoned.push_back(std::move(Item.Done));
    ParkedFor.clear();
  }
  for (const PeerCallDone &Done : Abandoned)
    Done(std::nullopt);
}

void FleetService::tick(TimePoint Now) {
  MembershipActions Actions;
  bool Alone = false;
  {
    PosixMutexLock Lock(&Mutex);
    Actions = Members.tick(Now);
    Alone = LinkOf.empty();
  }
  perform(std::move(Actions));
  expireParked(Now);
  if (Alone)
    for (const std::string &Seed : Seeds)
      Transport->connect(Seed);
}

void FleetService::listed(const std::vector<ListedInstance> &List) {
  MembershipActions Actions;
  {
    PosixMutexLock Lock(&Mutex);
    Actions = Members.listed(List, Timers.now());
  }
  perform(std::move(Actions));
}

void FleetService::sheetInForce(std::uint64_t Revision) {
  PosixMutexLock Lock(&Mutex);
  Members.setSheetRevision(Revision, Timers.now());
}

void FleetService::noticeServer(const std::string &Server,
                                ServerNoticeState State) {
  MembershipActions Actions;
  {
    PosixMutexLock Lock(&Mutex);
    Actions = Members.noticeServer(Server, State, Timers.now());
  }
  perform(std::move(Actions));
}

void FleetService::leave() {
  MembershipActions Actions;
  {
    PosixMutexLock Lock(&Mutex);
    Actions = Members.leave(Timers.now());
  }
  perform(std::move(Actions));
}

void FleetService::depart(std::vector<std::string> Successors) {
  MembershipActions Actions;
  {
    PosixMutexLock Lock(&Mutex);
    Actions = Members.depart(std::move(Successors), Timers.now());
  }
  perform(std::move(Actions));
}

void FleetService::perform(MembershipActions Actions) {
  TimePoint Now = Timers.now();
  bool Changed = false;
  for (MembershipAction &Action : Actions) {
    if (auto *Send = std::get_if<SendGossip>(&Action)) {
      deliver(*Send, Now);
    } else if (auto *Change = std::get_if<MemberChanged>(&Action)) {
      const MemberRecord &R = Change->Record;
      Changed = true;
      logEvent(LogLevel::Info, "member_changed",
               {{"member", R.Name},
                {"state", nameOf(MemberStateNames, R.state())},
                {"sheet_revision", R.SheetRevision}});
      Handlers.OnSheetRevision(R.Name, R.SheetRevision);
    } else if (auto *Notice = std::get_if<ServerNoticeChanged>(&Action)) {
      Handlers.OnServerNotice(Notice->Notice);
    } else {
      logEvent(LogLevel::Error, "superseded");
      Handlers.OnSuperseded();
    }
  }
  if (Changed)
    updateCount();
}

void FleetService::updateCount() {
  int Count = 1;
  {
    PosixMutexLock Lock(&Mutex);
    for (const auto &[Name, Entry] : Members.members().entries()) {
      const MemberRecord &R = Entry.Record;
      bool Other = Name != Members.self().Name;
      if (Other && R.Incarnation != 0 && R.isPresent())
        ++Count;
    }
    if (Count == LastCount)
      return;
    LastCount = Count;
  }
  Handlers.OnInstanceCount(Count);
}

void FleetService::deliver(const SendGossip &Action, TimePoint Now) {
  std::string Bytes = encodeGossip(Action.Message, Now);
  Parked Item;
  Item.Frame.Type = GossipFrameType;
  Item.Frame.Body =
      json::binary(std::vector<std::uint8_t>(Bytes.begin(), Bytes.end()));
  Item.Deadline = Now + ParkTime;
  sendOrPark(Action.To, Action.Address, std::move(Item));
}

void FleetService::sendOrPark(const std::string &Name,
                              const std::string &Address, Parked Item) {
  if (Quiet) {
    if (Item.Done)
      Item.Done(std::nullopt);
    return;
  }
  std::optional<PeerId> Id = linkTo(Name);
  if (Id)
    return transmit(*Id, std::move(Item));
  PeerCallDone Dropped;
  {
    PosixMutexLock Lock(&Mutex);
    std::deque<Parked> &Queue = ParkedFor[Name];
    if (Queue.size() >= MaxParked) {
      Dropped = std::move(Queue.front().Done);
      Queue.pop_front();
    }
    Queue.push_back(std::move(Item));
  }
  if (Dropped)
    Dropped(std::nullopt);
  // The link may have come up meanwhile; then what waits goes out with it.
  Id = linkTo(Name);
  if (Id)
    return sendParked(Name, *Id);
  Transport->connect(Address);
}

void FleetService::transmit(PeerId Id, Parked Item) {
  if (!Item.Done) {
    Transport->send(Id, Item.Frame);
    return;
  }
  Duration Timeout = Item.Deadline - Timers.now();
  Transport->call(Id, Item.Frame, Timeout,
                  [Done = std::move(Item.Done)](PeerCallOutcome Outcome) {
                    if (Outcome.Status != PeerCallStatus::Answered)
                      return Done(std::nullopt);
                    Done(std::move(Outcome.Body));
                  });
}

void FleetService::call(const std::string &Name, const std::string &Type,
                        json Body, Duration Timeout, PeerCallDone Done) {
  std::string Address;
  {
    PosixMutexLock Lock(&Mutex);
    const MemberTable::Entry *Entry = Members.members().find(Name);
    if (Entry != nullptr)
      Address = Entry->Record.Address;
  }
  if (Address.empty())
    return Done(std::nullopt);
  Parked Item;
  Item.Frame = PeerFrame{Type, std::move(Body)};
  Item.Done = std::move(Done);
  Item.Deadline = Timers.now() + Timeout;
  sendOrPark(Name, Address, std::move(Item));
}

std::optional<PeerId> FleetService::linkTo(const std::string &Name) const {
  PosixMutexLock Lock(&Mutex);
  auto Link = LinkOf.find(Name);
  if (Link == LinkOf.end())
    return std::nullopt;
  return Link->second;
}

void FleetService::sendParked(const std::string &Name, PeerId Id) {
  std::deque<Parked> Waiting;
  {
    PosixMutexLock Lock(&Mutex);
    auto It = ParkedFor.find(Name);
    if (It == ParkedFor.end())
      return;
    Waiting = std::move(It->second);
    ParkedFor.erase(It);
  }
  for (Parked &Item : Waiting)
    transmit(Id, std::move(Item));
}

void FleetService::onConnected(PeerId Id, const PeerIdentity &Peer) {
  MemberRecord Record;
  Record.Name = Peer.Instance;
  Record.Address = Peer.Address;
  Record.Zone = Peer.Zone;
  Record.Incarnation = Peer.Incarnation;
  MembershipActions Actions;
  {
    PosixMutexLock Lock(&Mutex);
    LinkOf[Peer.Instance] = Id;
    NameOf[Id] = Peer.Instance;
    Actions = Members.introduced(Record, Timers.now());
  }
  sendParked(Peer.Instance, Id);
  perform(std::move(Actions));
}

void FleetService::onDisconnected(PeerId Id) {
  if (Quiet)
    return;
  MembershipActions Actions;
  {
    PosixMutexLock Lock(&Mutex);
    auto It = NameOf.find(Id);
    if (It == NameOf.end())
      return;
    std::string Name = It->second;
    NameOf.erase(It);
    auto Link = LinkOf.find(Name);
    // A newer link may have replaced this one.
    if (Link == LinkOf.end() || Link->second != Id)
      return;
    LinkOf.erase(Link);
    Actions = Members.peerUnreachable(Name, Timers.now());
  }
  perform(std::move(Actions));
}

void FleetService::onConnectFailed(const std::string &Address) {
  if (Quiet)
    return;
  MembershipActions Actions;
  std::vector<PeerCallDone> Failed;
  {
    PosixMutexLock Lock(&Mutex);
    for (const auto &[Name, Entry] : Members.members().entries()) {
      if (Entry.Record.Address != Address)
        continue;
      auto It = ParkedFor.find(Name);
      if (It != ParkedFor.end()) {
        for (Parked &Item : It->second)
          if (Item.Done)
            Failed.push_back(std::move(Item.Done));
        ParkedFor.erase(It);
      }
      Actions = Members.peerUnreachable(Name, Timers.now());
      break;
    }
  }
  for (const PeerCallDone &Done : Failed)
    Done(std::nullopt);
  perform(std::move(Actions));
}

void FleetService::expireParked(TimePoint Now) {
  std::vector<PeerCallDone> Expired;
  {
    PosixMutexLock Lock(&Mutex);
    for (auto &[Name, Queue] : ParkedFor)
      while (!Queue.empty() && Queue.front().Deadline <= Now) {
        if (Queue.front().Done)
          Expired.push_back(std::move(Queue.front().Done));
        Queue.pop_front();
      }
  }
  for (const PeerCallDone &Done : Expired)
    Done(std::nullopt);
}

void FleetService::onFrame(const PeerFrame &Frame) {
  if (Quiet || Frame.Type != GossipFrameType || !Frame.Body.is_binary())
    return;
  const auto &Binary = Frame.Body.get_binary();
  absl::string_view Bytes(reinterpret_cast<const char *>(Binary.data()),
                          Binary.size());
  TimePoint Now = Timers.now();
  auto Decoded = capture([&] { return decodeGossip(Bytes, Now); });
  if (auto *Fault = std::get_if<Error>(&Decoded)) {
    logEvent(LogLevel::Warning, "gossip_malformed",
             {{"detail", Fault->text()}});
    return;
  }
  MembershipActions Actions;
  {
    PosixMutexLock Lock(&Mutex);
    Actions = Members.received(std::get<GossipMessage>(Decoded), Now);
  }
  perform(std::move(Actions));
}

IssuerStanding FleetService::standingOf(const Ticket &T) const {
  IssuerStanding Standing;
  PosixMutexLock Lock(&Mutex);
  const DepartureNotice *Departed =
      Members.notices().departure(T.Issuer, T.Incarnation);
  if (Departed != nullptr)
    Standing.Successors = Departed->Successors;
  const MemberTable::Entry *Entry = Members.members().find(T.Issuer);
  Standing.Live = Departed == nullptr && Entry != nullptr &&
                  Entry->Record.Incarnation == T.Incarnation &&
                  Entry->Record.isPresent();
  return Standing;
}

std::optional<std::size_t> FleetService::rankOf(const std::string &Duty) const {
  PosixMutexLock Lock(&Mutex);
  return Members.rankOf(Duty);
}

std::vector<std::string> FleetService::successors(std::size_t Count) const {
  PosixMutexLock Lock(&Mutex);
  return Members.successorsFor(SuccessorDuty, Count);
}

std::vector<MemberRecord>
FleetService::withLaterSheet(std::uint64_t Revision, std::size_t Count) const {
  std::vector<MemberRecord> Later;
  PosixMutexLock Lock(&Mutex);
  for (const auto &[Name, Entry] : Members.members().entries()) {
    const MemberRecord &R = Entry.Record;
    if (R.isPresent() && R.SheetRevision > Revision)
      Later.push_back(R);
    if (Later.size() >= Count)
      break;
  }
  return Later;
}

std::vector<MemberRecord> FleetService::members() const {
  PosixMutexLock Lock(&Mutex);
  std::vector<MemberRecord> All{Members.self()};
  for (const auto &[Name, Entry] : Members.members().entries())
    if (Name != Members.self().Name)
      All.push_back(Entry.Record);
  return All;
}

std::string FleetService::self() const {
  PosixMutexLock Lock(&Mutex);
  return Members.self().Name;
}

std::string FleetService::address() const {
  PosixMutexLock Lock(&Mutex);
  return Members.self().Address;
}

HttpResponse FleetService::instances() const {
  nlohmann::ordered_json List = nlohmann::ordered_json::array();
  for (const MemberRecord &R : members()) {
    nlohmann::ordered_json Entry;
    Entry["instance"] = R.Name;
    Entry["zone"] = R.Zone;
    Entry["address"] = R.Address;
    Entry["state"] = R.Incarnation == 0
                         ? "listed"
                         : std::string(nameOf(MemberStateNames, R.state()));
    Entry["incarnation"] = R.Incarnation;
    Entry["sheet_revision"] = R.SheetRevision;
    List.push_back(std::move(Entry));
  }
  return jsonResponse({{"instances", List}});
}

} // namespace quetzallead
