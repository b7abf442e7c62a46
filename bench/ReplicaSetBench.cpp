#include "quetzallead/ReplicaSet.h"
#include <benchmark/benchmark.h>

using namespace quetzallead;

namespace {

const TimePoint Start = absl::UnixEpoch() + absl::Hours(1);

class NullListener : public PermitListener {
public:
  void onPermit(std::size_t, std::size_t, TimePoint) override {}
  void onRefusal(std::size_t, MissingReason, TimePoint) override {}
};

ShardSpec shardOf(int Replicas) {
  ShardSpec Spec;
  Spec.Name = "s0";
  for (int Index = 0; Index < Replicas; ++Index) {
    BackendServerSpec Server;
    Server.Name = "server" + std::to_string(Index);
    Server.Zone = std::string(1, static_cast<char>('a' + Index % 3));
    Server.Address = "127.0.0.1:" + std::to_string(1000 + Index);
    Server.Slots = 2;
    Server.ConnectionLimit = 110;
    Spec.Servers.push_back(Server);
  }
  return Spec;
}

} // namespace

/// One routing choice and the end of its attempt.
static void chooseAndRelease(benchmark::State &State) {
  ReplicaSetOptions Options;
  Options.Policy = static_cast<RoutingPolicy>(State.range(1));
  Options.Zone = "a";
  ReplicaSet Set(shardOf(static_cast<int>(State.range(0))), Options, 9, Start);
  auto Listener = std::make_shared<NullListener>();
  AttemptReport Report;
  Report.Result = AttemptResult::Answered;
  Report.Elapsed = absl::Milliseconds(5);
  TimePoint Now = Start + absl::Seconds(1);
  for (auto _ : State) {
    Now += absl::Microseconds(100);
    Permit P = Set.acquire(PermitRequest(), Listener, Now);
    Set.release(P.Replica, Report, Now);
  }
}
BENCHMARK(chooseAndRelease)
    ->ArgNames({"replicas", "policy"})
    ->Args({3, static_cast<int>(RoutingPolicy::ExpectedCompletion)})
    ->Args({8, static_cast<int>(RoutingPolicy::ExpectedCompletion)})
    ->Args({3, static_cast<int>(RoutingPolicy::LeastOutstanding)})
    ->Args({3, static_cast<int>(RoutingPolicy::Random)});
