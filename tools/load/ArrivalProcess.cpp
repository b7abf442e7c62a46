#include "load/ArrivalProcess.h"
#include "load/LoadPlan.h"
#include <algorithm>
#include <random>

namespace quetzallead {

namespace {

/// Draws at the greatest rate and keeps each arrival with the probability that
/// the rate at its time calls for.
void addStream(const LoadPlan &Plan, std::size_t Stream,
               std::vector<Arrival> &Arrivals) {
  std::seed_seq Seeds{Plan.Seed, static_cast<std::uint64_t>(Stream)};
  std::mt19937_64 Engine(Seeds);
  const double Greatest = greatestLoadFactor(Plan);
  const double Rate = Plan.Streams[Stream].Rate * Greatest;
  if (Rate <= 0)
    return;
  std::exponential_distribution<double> Gap(Rate);
  std::uniform_real_distribution<double> Share(0, 1);
  Duration Offset = absl::Seconds(Gap(Engine));
  while (Offset < Plan.Length) {
    const std::uint64_t Draw = Engine();
    if (Share(Engine) * Greatest <= loadFactorAt(Plan, Offset))
      Arrivals.push_back(Arrival{Offset, Stream, 0, Draw});
    Offset += absl::Seconds(Gap(Engine));
  }
}

} // namespace

std::vector<Arrival> makeArrivals(const LoadPlan &Plan) {
  std::vector<Arrival> Arrivals;
  for (std::size_t Stream = 0; Stream < Plan.Streams.size(); ++Stream)
    addStream(Plan, Stream, Arrivals);
  std::stable_sort(
      Arrivals.begin(), Arrivals.end(),
      [](const Arrival &A, const Arrival &B) { return A.Offset < B.Offset; });
  for (std::size_t I = 0; I < Arrivals.size(); ++I)
    Arrivals[I].Sequence = I;
  return Arrivals;
}

} // namespace quetzallead
