#include "GossipWorld.h"

#include "absl/strings/str_cat.h"
#include "core/membership/GossipCodec.h"

namespace quetzallead {

GossipWorld::GossipWorld(int Count, int Zones, std::uint32_t Seed)
    : ZoneCount(Zones), Engine(Seed), Nodes(Count) {
  for (int I = 0; I < Count; ++I)
    restart(I);
}

std::string GossipWorld::nameOf(int I) { return absl::StrCat("i", I); }

std::string GossipWorld::zoneOf(int I, int Zones) {
  return absl::StrCat("z", I % Zones);
}

std::vector<ListedInstance> GossipWorld::list() const {
  std::vector<ListedInstance> List;
  List.reserve(Nodes.size());
  for (int I = 0; I < size(); ++I)
    List.push_back(
        {nameOf(I), absl::StrCat("10.0.0.1:", I), zoneOf(I, ZoneCount), false});
  return List;
}

void GossipWorld::restart(int I) {
  Node &N = Nodes[I];
  ++N.Incarnation;
  MemberRecord Self;
  Self.Name = nameOf(I);
  Self.Address = absl::StrCat("10.0.0.1:", I);
  Self.Zone = zoneOf(I, ZoneCount);
  Self.Incarnation = N.Incarnation;
  N.Core = std::make_unique<Membership>(Options, Self,
                                        std::mt19937_64(Engine()), Now);
  act(I, N.Core->listed(list(), Now));
}

void GossipWorld::act(int I, const MembershipActions &Actions) {
  for (const MembershipAction &Action : Actions) {
    if (const auto *Changed = std::get_if<MemberChanged>(&Action))
      Deaths += Changed->Record.Health == MemberState::Dead ? 1 : 0;
    Supersessions += std::holds_alternative<Superseded>(Action) ? 1 : 0;
    const auto *Send = std::get_if<SendGossip>(&Action);
    if (!Send)
      continue;
    const int To = std::stoi(Send->To.substr(1));
    std::string Bytes = encodeGossip(Send->Message, Now);
    BytesSent += Bytes.size();
    if (static_cast<int>(Engine() % 100) >= LossPercent && Connected(I, To))
      InFlight.push_back({I, To, std::move(Bytes)});
  }
}

void GossipWorld::run(int Rounds) {
  for (int R = 0; R < Rounds; ++R) {
    Now += Options.GossipPeriod;
    std::vector<Flight> Arriving;
    Arriving.swap(InFlight);
    for (const Flight &F : Arriving)
      if (isUp(F.To))
        act(F.To, at(F.To).received(*decodeGossip(F.Bytes, Now), Now));
    for (int I = 0; I < size(); ++I)
      if (isUp(I))
        act(I, at(I).tick(Now));
  }
}

int GossipWorld::runUntil(const std::function<bool()> &Done, int Limit) {
  for (int R = 0; R <= Limit; ++R) {
    if (Done())
      return R;
    run(1);
  }
  return -1;
}

MemberState GossipWorld::view(int I, int Of) const {
  const auto *E = Nodes[I].Core->members().find(nameOf(Of));
  return E ? E->Record.state() : MemberState::Dead;
}

bool GossipWorld::allAgree() const {
  for (int I = 0; I < size(); ++I) {
    for (int Of = 0; isUp(I) && Of < size(); ++Of) {
      const auto *E = Nodes[I].Core->members().find(nameOf(Of));
      if (!isUp(Of)) {
        if (E && E->Record.isPresent())
          return false;
        continue;
      }
      if (!E || !(E->Record == Nodes[Of].Core->self()))
        return false;
    }
  }
  return true;
}

bool GossipWorld::allHold(const std::string &Server,
                          ServerNoticeState State) const {
  for (const Node &N : Nodes) {
    if (!N.Core)
      continue;
    const ServerNotice *Notice = N.Core->notices().server(Server);
    if (!Notice || Notice->State != State)
      return false;
  }
  return true;
}

} // namespace quetzallead
