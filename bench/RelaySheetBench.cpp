#include "absl/strings/str_format.h"
#include "core/relay/RelayState.h"
#include "platform/PlatformSheet.h"
#include <array>
#include <benchmark/benchmark.h>

using namespace quetzallead;

namespace {

constexpr int RoutesPerService = 5;

/// A sheet with \p Routes routes, of which one differs between versions.
std::string sheetText(int Routes, int Version) {
  std::string Text = absl::StrFormat(R"({"version": %d, "routes": [)", Version);
  for (int I = 0; I < Routes; ++I)
    absl::StrAppendFormat(
        &Text,
        R"(%s{"name": "route-%d", "host": "host-%d.example", "prefix": "/p%d/",)"
        R"( "type": "idempotent", "timeout_ms": %d, "slo_ms": 120,)"
        R"( "priority": 1, "service": "service-%d", "max_attempts": 2})",
        I == 0 ? "" : ", ", I, I % 7, I, I == Routes / 2 ? 1000 + Version : 800,
        I / RoutesPerService);
  Text += R"(], "services": [)";
  for (int I = 0; I <= (Routes - 1) / RoutesPerService; ++I)
    absl::StrAppendFormat(&Text, R"(%s{"name": "service-%d", "max_conns": 16})",
                          I == 0 ? "" : ", ", I);
  return Text + "]}";
}

RelayStateOptions stateOptions() {
  RelayStateOptions Options;
  Options.Zone = "a";
  return Options;
}

void decodeSheet(benchmark::State &Bench) {
  const std::string Text = sheetText(static_cast<int>(Bench.range(0)), 1);
  for (auto _ : Bench)
    benchmark::DoNotOptimize(decodePlatformSheet(Text));
  Bench.counters["bytes"] = static_cast<double>(Text.size());
}

/// One step of the loop: a version that changes one route.
void takeSheet(benchmark::State &Bench) {
  const int Routes = static_cast<int>(Bench.range(0));
  RelayState State(stateOptions());
  std::vector<FeedChange> Servers;
  for (int I = 0; I <= (Routes - 1) / RoutesPerService; ++I) {
    DiscoveredServer S;
    S.Id = absl::StrFormat("server-%d", I);
    S.Service = absl::StrFormat("service-%d", I);
    S.Address = "127.0.0.1:1";
    S.Zone = "a";
    Servers.push_back(FeedChange{S.Id, S});
  }
  const TimePoint Now = absl::UnixEpoch() + absl::Hours(1);
  State.applyFeedChanges(Servers, Now);
  const std::array<std::string, 2> Texts{sheetText(Routes, 1),
                                         sheetText(Routes, 2)};
  PlatformSheetReader Reader;
  std::uint64_t Version = 0;
  for (auto _ : Bench) {
    auto Sheet = Reader.read(Texts[Version % 2]);
    Sheet.value().Version = ++Version;
    State.updateSheet(std::move(Sheet.value()), Now);
  }
}

} // namespace

BENCHMARK(decodeSheet)
    ->Name("RelaySheet/Decode")
    ->Arg(1)
    ->Arg(100)
    ->Arg(600)
    ->Arg(5000);
BENCHMARK(takeSheet)
    ->Name("RelaySheet/TakeOneChanged")
    ->Arg(1)
    ->Arg(100)
    ->Arg(600)
    ->Arg(5000);
