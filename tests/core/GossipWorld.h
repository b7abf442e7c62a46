#ifndef QUETZALLEAD_TESTS_CORE_GOSSIPWORLD_H
#define QUETZALLEAD_TESTS_CORE_GOSSIPWORLD_H

#include "core/membership/Membership.h"
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace quetzallead {

/// Many Membership aggregates in one loop. One round is one gossip period; a
/// message arrives in the round after it was sent, encoded and decoded.
class GossipWorld {
public:
  /// \p Count instances "i0", "i1", … in turn over \p Zones zones "z0", ….
  GossipWorld(int Count, int Zones, std::uint32_t Seed);

  void run(int Rounds);
  /// Runs until \p Done; the rounds that took, or -1 after \p Limit.
  int runUntil(const std::function<bool()> &Done, int Limit);

  Membership &at(int I) { return *Nodes[I].Core; }
  int size() const { return static_cast<int>(Nodes.size()); }
  bool isUp(int I) const { return Nodes[I].Core != nullptr; }
  void kill(int I) { Nodes[I].Core = nullptr; }
  /// Starts the instance with a new incarnation and no memory.
  void restart(int I);
  void act(int I, const MembershipActions &Actions);
  /// The state of instance \p Of in the view of \p I.
  MemberState view(int I, int Of) const;
  /// True if every running instance sees every instance as it is.
  bool allAgree() const;
  /// True if every running instance holds that notice.
  bool allHold(const std::string &Server, ServerNoticeState State) const;

  static std::string nameOf(int I);
  static std::string zoneOf(int I, int Zones);

  TimePoint Now = absl::FromUnixSeconds(1'700'000'000);
  MembershipOptions Options;
  /// Share of messages lost, percent.
  int LossPercent = 0;
  /// True if messages between the two get through.
  std::function<bool(int, int)> Connected = [](int, int) { return true; };
  std::size_t BytesSent = 0;
  /// States seen changing to Dead.
  int Deaths = 0;
  int Supersessions = 0;

private:
  struct Node {
    std::unique_ptr<Membership> Core;
    std::uint64_t Incarnation = 0;
  };
  struct Flight {
    int From = 0;
    int To = 0;
    std::string Bytes;
  };

  std::vector<ListedInstance> list() const;

  int ZoneCount;
  std::mt19937_64 Engine;
  std::vector<Node> Nodes;
  std::vector<Flight> InFlight;
};

} // namespace quetzallead

#endif // QUETZALLEAD_TESTS_CORE_GOSSIPWORLD_H
