#include "absl/strings/str_cat.h"
#include "core/membership/GossipCodec.h"
#include "core/membership/Membership.h"
#include <benchmark/benchmark.h>
#include <deque>
#include <malloc.h>
#include <vector>

namespace quetzallead {
namespace {

constexpr int ServerCount = 4400;
constexpr int RoundsPerSecond = 4;
constexpr int WarmUpTicks = 1300;
constexpr int WarmUpRounds = 20;

std::string nameOf(std::int64_t I) { return absl::StrCat("i-", 1000 + I); }

MemberRecord recordOf(std::int64_t I, std::int64_t Count) {
  MemberRecord R;
  R.Name = nameOf(I);
  R.Address = absl::StrCat("10.1.", I / 250, ".", I % 250, ":7400");
  R.Zone = absl::StrCat("north-", I % (Count < 100 ? 3 : 8));
  R.Incarnation = 1'700'000'000'000 + I;
  R.SheetRevision = 17;
  return R;
}

/// A fleet in one loop; a message arrives in the round after it was sent.
class Fleet {
public:
  explicit Fleet(std::int64_t Count) {
    GossipMessage Everybody;
    for (std::int64_t I = 0; I < Count; ++I)
      Everybody.Members.push_back(recordOf(I, Count));
    for (std::int64_t I = 0; I < Count; ++I) {
      MemberRecord Self = recordOf(I, Count);
      Nodes.emplace_back(MembershipOptions(), Self, std::mt19937_64(I + 1),
                         Now);
      Everybody.Sender = recordOf((I + 1) % Count, Count);
      Nodes.back().received(Everybody, Now);
    }
    // The first news is sent to nobody until there is none left.
    for (int I = 0; I < WarmUpTicks; ++I)
      for (Membership &M : Nodes)
        M.tick(Now);
    for (int R = 0; R < WarmUpRounds; ++R)
      round();
  }

  void round() {
    Now += MembershipOptions().GossipPeriod;
    std::vector<std::pair<std::size_t, std::string>> Arriving;
    Arriving.swap(InFlight);
    for (const auto &[To, Bytes] : Arriving)
      act(Nodes[To].received(*decodeGossip(Bytes, Now), Now));
    for (Membership &M : Nodes)
      act(M.tick(Now));
  }

  void act(const MembershipActions &Actions) {
    for (const MembershipAction &A : Actions)
      if (const auto *Send = std::get_if<SendGossip>(&A)) {
        InFlight.emplace_back(std::stoul(Send->To.substr(2)) - 1000,
                              encodeGossip(Send->Message, Now));
        BytesSent += InFlight.back().second.size();
        ++MessagesSent;
      }
  }

  std::deque<Membership> Nodes;
  TimePoint Now = absl::FromUnixSeconds(1'700'000'000);
  std::vector<std::pair<std::size_t, std::string>> InFlight;
  std::size_t BytesSent = 0;
  std::size_t MessagesSent = 0;
};

void report(benchmark::State &State, const Fleet &F, std::size_t Rounds) {
  const double NodeSeconds =
      static_cast<double>(Rounds * F.Nodes.size()) / RoundsPerSecond;
  State.counters["bytes_per_s_each"] =
      static_cast<double>(F.BytesSent) / NodeSeconds;
  State.counters["messages_per_s_each"] =
      static_cast<double>(F.MessagesSent) / NodeSeconds;
  // The time of one iteration is a round of the whole fleet, codec included.
  State.counters["cpu_us_per_s_each"] =
      benchmark::Counter(NodeSeconds * 1e-6, benchmark::Counter::kIsRate |
                                                 benchmark::Counter::kInvert);
}

void quietRound(benchmark::State &State) {
  Fleet F(State.range(0));
  F.BytesSent = 0;
  F.MessagesSent = 0;
  for (auto Step : State)
    F.round();
  report(State, F, State.iterations());
}
BENCHMARK(quietRound)
    ->Arg(9)
    ->Arg(100)
    ->Arg(300)
    ->Arg(950)
    ->Unit(benchmark::kMillisecond)
    ->Iterations(80);

/// All instances put a new sheet into force, and one backend server leaves.
void newsRounds(benchmark::State &State) {
  Fleet F(State.range(0));
  F.BytesSent = 0;
  F.MessagesSent = 0;
  int RoundsToNotice = -1;
  int RoundsToSheet = -1;
  int Round = 0;
  for (Membership &M : F.Nodes)
    M.setSheetRevision(18, F.Now);
  F.act(F.Nodes[0].noticeServer("s-1", ServerNoticeState::Leaving, F.Now));
  for (auto Step : State) {
    F.round();
    ++Round;
    bool Notice = true;
    bool Sheet = true;
    for (const Membership &M : F.Nodes) {
      Notice = Notice && M.notices().server("s-1") != nullptr;
      Sheet = Sheet && M.digest() == F.Nodes[0].digest();
    }
    if (Notice && RoundsToNotice < 0)
      RoundsToNotice = Round;
    if (Sheet && RoundsToSheet < 0)
      RoundsToSheet = Round;
  }
  report(State, F, State.iterations());
  State.counters["rounds_to_notice"] = RoundsToNotice;
  State.counters["rounds_to_all_revisions"] = RoundsToSheet;
}
BENCHMARK(newsRounds)
    ->Arg(9)
    ->Arg(100)
    ->Arg(300)
    ->Arg(950)
    ->Unit(benchmark::kMillisecond)
    ->Iterations(160);

void memoryOfOne(benchmark::State &State) {
  const std::int64_t Count = State.range(0);
  std::size_t Bytes = 0;
  for (auto Step : State) {
    const std::size_t Before = mallinfo2().uordblks;
    const TimePoint Now = absl::FromUnixSeconds(1'700'000'000);
    Membership M(MembershipOptions(), recordOf(0, Count), std::mt19937_64(1),
                 Now);
    GossipMessage All;
    for (std::int64_t I = 1; I < Count; ++I)
      All.Members.push_back(recordOf(I, Count));
    All.Sender = All.Members[0];
    for (std::int64_t I = 0; I < State.range(1); ++I)
      All.Servers.push_back({absl::StrCat("server-", I),
                             ServerNoticeState::Dead, 1,
                             Now + absl::Seconds(30)});
    M.received(All, Now);
    All = GossipMessage();
    Bytes = mallinfo2().uordblks - Before;
  }
  State.counters["bytes"] = static_cast<double>(Bytes);
}
BENCHMARK(memoryOfOne)
    ->Args({9, 0})
    ->Args({100, 0})
    ->Args({300, 0})
    ->Args({950, 0})
    ->Args({950, ServerCount})
    ->Iterations(3)
    ->Unit(benchmark::kMillisecond);

/// One record that is news.
void updateMember(benchmark::State &State) {
  const std::int64_t Count = State.range(0);
  MemberTable Table;
  const TimePoint Now = absl::FromUnixSeconds(1'700'000'000);
  for (std::int64_t I = 0; I < Count; ++I)
    Table.put(recordOf(I, Count), Now);
  MemberRecord R = recordOf(Count / 2, Count);
  for (auto Step : State) {
    ++R.Revision;
    benchmark::DoNotOptimize(Table.apply(R, Now));
  }
}
BENCHMARK(updateMember)->Arg(9)->Arg(100)->Arg(300)->Arg(950);

} // namespace
} // namespace quetzallead
