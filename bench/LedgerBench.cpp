#include "core/command/CommandLedger.h"
#include "core/session/KeyRing.h"
#include <benchmark/benchmark.h>
#include <malloc.h>

namespace quetzallead {
namespace {

const TimePoint Start = absl::FromUnixSeconds(1'700'000'000);
constexpr std::size_t ReplyBytes = 200;

std::shared_ptr<const KeyRing> benchKeys() {
  return std::make_shared<const KeyRing>(
      *KeyRing::make({SigningKey{"k1", std::string(32, 's')}}));
}

CommandLedger benchLedger() {
  return CommandLedger("i-17", 1'700'000'000'000, benchKeys(),
                       [](const Ticket &) { return IssuerStanding(); });
}

CommandArrival arrivalWith(std::string TicketText) {
  CommandArrival Arrival;
  Arrival.Id = 1;
  Arrival.TicketText = std::move(TicketText);
  Arrival.Fingerprint = {1, 2};
  Arrival.Deadline = absl::InfiniteFuture();
  return Arrival;
}

void runOne(CommandLedger &Ledger, TimePoint Now) {
  const CommandActions Begun =
      Ledger.received(arrivalWith(Ledger.issueTicket(Now)), Now);
  const auto *Run = std::get_if<RunAttempt>(&Begun.at(0));
  if (Run)
    benchmark::DoNotOptimize(
        Ledger.attemptEnded(Run->Sequence, AttemptOutcome::Answered,
                            std::string(ReplyBytes, 'r'), Now));
}

/// A command from its ticket to its answer, with so many spent before it.
void runCommand(benchmark::State &State) {
  CommandLedger Ledger = benchLedger();
  TimePoint Now = Start;
  const std::size_t Before = mallinfo2().uordblks;
  for (std::int64_t I = 0; I < State.range(0); ++I)
    runOne(Ledger, Now);
  const std::size_t Bytes = mallinfo2().uordblks - Before;
  // As fast as tickets expire, so that the number of spent ones stays.
  const Duration Step = absl::Seconds(TicketIssuer::LifetimeSeconds) /
                        std::max<std::int64_t>(1, State.range(0));
  for (auto Each : State) {
    Now += Step;
    runOne(Ledger, Now);
    Ledger.tick(Now);
  }
  State.counters["spent"] = static_cast<double>(Ledger.spentTickets());
  State.counters["bytes_per_spent"] =
      static_cast<double>(Bytes) /
      static_cast<double>(std::max<std::int64_t>(1, State.range(0)));
}
BENCHMARK(runCommand)->Arg(0)->Arg(1000)->Arg(10'000)->Arg(39'000);

/// The same command once more, answered from memory.
void repeatCommand(benchmark::State &State) {
  CommandLedger Ledger = benchLedger();
  const CommandArrival Arrival = arrivalWith(Ledger.issueTicket(Start));
  const CommandActions Begun = Ledger.received(Arrival, Start);
  Ledger.attemptEnded(std::get<RunAttempt>(Begun.at(0)).Sequence,
                      AttemptOutcome::Answered, std::string(ReplyBytes, 'r'),
                      Start);
  for (auto Each : State)
    benchmark::DoNotOptimize(Ledger.received(Arrival, Start));
}
BENCHMARK(repeatCommand);

/// A whole planned stop: last word, encoding, decoding, taking over.
void handOver(benchmark::State &State) {
  CommandLedger Ledger = benchLedger();
  for (std::int64_t I = 0; I < State.range(0); ++I)
    runOne(Ledger, Start);
  Ledger.drain();
  std::size_t Bytes = 0;
  for (auto Each : State) {
    const std::string Text = encodeHandover(Ledger.lastWords().at(0), Start);
    Bytes = Text.size();
    benchmark::DoNotOptimize(decodeHandover(Text, Start));
  }
  State.counters["statement_bytes"] = static_cast<double>(Bytes);
}
BENCHMARK(handOver)->Arg(100)->Arg(1000)->Arg(10'000)->Unit(
    benchmark::kMillisecond);

} // namespace
} // namespace quetzallead
