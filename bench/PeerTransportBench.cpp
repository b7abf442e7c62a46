#include "absl/strings/str_cat.h"
#include "runtime/TimerService.h"
#include "transport/peer/PeerTransport.h"
#include <benchmark/benchmark.h>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <thread>

using namespace quetzallead;

namespace {

/// Lets one thread wait for a value from another one.
template <typename T> class Slot {
public:
  void put(T Value) {
    std::lock_guard<std::mutex> Guard(Lock);
    Held = std::move(Value);
    Filled.notify_one();
  }
  T take() {
    std::unique_lock<std::mutex> Guard(Lock);
    Filled.wait(Guard, [this] { return Held.has_value(); });
    T Out = std::move(*Held);
    Held.reset();
    return Out;
  }

private:
  std::mutex Lock;
  std::condition_variable Filled;
  std::optional<T> Held;
};

/// Two instances with a link; the second one echoes calls.
struct LinkedPair {
  LinkedPair() {
    PeerTransportHandlers AtB;
    AtB.OnCall = [](PeerId, PeerFrame Frame, const auto &Respond) {
      Respond(std::move(Frame.Body));
    };
    B = make("b", std::move(AtB));
    PeerTransportHandlers AtA;
    AtA.OnConnected = [this](PeerId Id, const PeerIdentity &) { Up.put(Id); };
    A = make("a", std::move(AtA));
    A->connect(absl::StrCat("127.0.0.1:", B->port()));
    ToB = Up.take();
  }

  std::unique_ptr<PeerTransport> make(const std::string &Name,
                                      PeerTransportHandlers Handlers) {
    PeerTransportOptions Options;
    Options.Listen = "127.0.0.1:0";
    Options.Self = {Name, "zone-1", 1, ""};
    Options.Keys = {"key"};
    auto Made = capture([&] {
      return PeerTransport::make(Options, std::move(Handlers), *Timers);
    });
    return std::move(std::get<std::unique_ptr<PeerTransport>>(Made));
  }

  std::unique_ptr<TimerService> Timers = TimerService::make();
  Slot<PeerId> Up;
  std::unique_ptr<PeerTransport> B;
  std::unique_ptr<PeerTransport> A;
  PeerId ToB = 0;
};

/// One call and its answer, with a body of \p State.range(0) bytes.
void peerCall(benchmark::State &State) {
  LinkedPair Pair;
  Slot<PeerCallStatus> Ended;
  PeerFrame Frame{"ask",
                  std::string(static_cast<std::size_t>(State.range(0)), 'x')};
  for (auto _ : State) {
    Pair.A->call(Pair.ToB, Frame, absl::Seconds(10),
                 [&](const PeerCallOutcome &Out) { Ended.put(Out.Status); });
    benchmark::DoNotOptimize(Ended.take());
  }
}

/// What an idle link costs: wire bytes a second and processor time.
void peerIdleLink(benchmark::State &State) {
  LinkedPair Pair;
  constexpr int Seconds = 5;
  PeerTransportCounters Before = Pair.A->counters();
  for (auto _ : State)
    std::this_thread::sleep_for(std::chrono::seconds(Seconds));
  PeerTransportCounters After = Pair.A->counters();
  auto Bytes = static_cast<double>(After.BytesOut - Before.BytesOut +
                                   After.BytesIn - Before.BytesIn);
  State.counters["wire_bytes_per_second"] = Bytes / Seconds;
}

} // namespace

BENCHMARK(peerCall)
    ->Arg(100)
    ->Arg(10000)
    ->UseRealTime()
    ->MeasureProcessCPUTime();
BENCHMARK(peerIdleLink)->Iterations(1)->UseRealTime()->MeasureProcessCPUTime();
