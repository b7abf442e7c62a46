#include "absl/strings/str_format.h"
#include "daemon/ClusterDirectory.h"
#include "daemon/Settings.h"
#include "quetzallead/Sheet.h"
#include "quetzallead/SheetChange.h"
#include "quetzallead/SheetCodec.h"
#include "quetzallead/SheetDiff.h"
#include <benchmark/benchmark.h>
#include <malloc.h>

using namespace quetzallead;

namespace {

const TimePoint Start = absl::UnixEpoch() + absl::Hours(1);
constexpr int ZoneCount = 8;
constexpr int ShardsPerService = 75;
constexpr int ReplicasPerShard = 6;

std::string zoneName(int Index) {
  return absl::StrFormat("zone-%d", Index % ZoneCount);
}

BackendServerSpec serverOf(int Index) {
  BackendServerSpec Server;
  Server.Name = absl::StrFormat("server-%05d", Index);
  Server.Zone = zoneName(Index);
  Server.Address = absl::StrFormat("10.%d.%d.%d:8080", Index >> 16,
                                   (Index >> 8) & 255, Index & 255);
  Server.Slots = 2;
  Server.ConnectionLimit = 25;
  Server.ConnectTime = absl::Milliseconds(6);
  return Server;
}

/// A sheet of \p Servers servers in services of 75 shards with 6 replicas.
Sheet sheetOf(int Servers) {
  Sheet Made;
  Made.Deployment = "bench";
  for (int Zone = 0; Zone < ZoneCount; ++Zone)
    Made.Zones.push_back(zoneName(Zone));
  for (int Index = 0; Index < Servers; ++Index) {
    const int Shard = Index / ReplicasPerShard;
    if (Shard % ShardsPerService == 0 && Index % ReplicasPerShard == 0) {
      Made.Services.emplace_back();
      Made.Services.back().Name =
          absl::StrFormat("service-%d", Shard / ShardsPerService);
    }
    ServiceSpec &Service = Made.Services.back();
    if (Index % ReplicasPerShard == 0) {
      const int Place = Shard % ShardsPerService;
      const std::string From =
          Place == 0 ? "" : absl::StrFormat("k%05d", Place);
      if (Place > 0)
        Service.Shards.back().To = From;
      Service.Shards.emplace_back();
      Service.Shards.back().Name = absl::StrFormat("s%02d", Place);
      Service.Shards.back().From = From;
    }
    Service.Shards.back().Servers.push_back(serverOf(Index));
  }
  return Made;
}

/// Bytes of the heap that are in use.
double heapInUse() {
  const struct mallinfo2 Info = mallinfo2();
  return static_cast<double>(Info.uordblks + Info.hblkhd);
}

void serverCounts(benchmark::internal::Benchmark *Bench) {
  Bench->ArgName("servers")->Arg(90)->Arg(450)->Arg(1350)->Arg(4400);
  Bench->Unit(benchmark::kMillisecond);
}

} // namespace

/// Text to checked sheet; also the size of the text and of the sheet.
static void parseSheetText(benchmark::State &State) {
  const auto Servers = static_cast<int>(State.range(0));
  const std::string Text = formatSheet(sheetOf(Servers));
  for (auto _ : State) {
    const auto Read = capture([&] { return parseSheet(Text); });
    if (!std::holds_alternative<Sheet>(Read))
      State.SkipWithError(std::get<Error>(Read).text().c_str());
    benchmark::DoNotOptimize(Read);
  }
  const double Before = heapInUse();
  const Sheet Kept = sheetOf(Servers);
  benchmark::DoNotOptimize(&Kept);
  State.counters["text_B/server"] = static_cast<double>(Text.size()) / Servers;
  State.counters["memory_B/server"] = (heapInUse() - Before) / Servers;
}
BENCHMARK(parseSheetText)->Apply(serverCounts);

/// What a new sheet changes, with one server of all changed.
static void compareSheets(benchmark::State &State) {
  const Sheet Before = sheetOf(static_cast<int>(State.range(0)));
  Sheet After = Before;
  After.Services.back().Shards.back().Servers.back().Leaving = true;
  for (auto _ : State)
    benchmark::DoNotOptimize(diffSheets(Before, After));
}
BENCHMARK(compareSheets)->Apply(serverCounts);

/// One switch from a sheet to the next in the view of requests; also the
/// memory of the view with its beliefs.
static void switchSheet(benchmark::State &State) {
  const auto Servers = static_cast<int>(State.range(0));
  const Sheet Even = sheetOf(Servers);
  Sheet Odd = Even;
  Odd.Services.back().Shards.back().Servers.back().Leaving = true;
  const double Before = heapInUse();
  ClusterDirectory Directory{Settings()};
  Directory.applySheet(Even, 1, Start);
  State.counters["memory_B/server"] = (heapInUse() - Before) / Servers;
  std::uint64_t Revision = 1;
  for (auto _ : State) {
    ++Revision;
    Directory.applySheet(Revision % 2 == 0 ? Odd : Even, Revision, Start);
  }
}
BENCHMARK(switchSheet)->Apply(serverCounts);
