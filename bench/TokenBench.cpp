#include "absl/strings/str_cat.h"
#include "core/command/Ticket.h"
#include "core/session/KeyRing.h"
#include "core/session/SessionToken.h"
#include <benchmark/benchmark.h>

namespace quetzallead {
namespace {

const TimePoint Now = absl::FromUnixSeconds(1'700'000'000);

KeyRing benchKeys() {
  return *KeyRing::make({SigningKey{"k1", std::string(32, 's')}});
}

SessionToken tokenWith(std::int64_t Services) {
  std::mt19937_64 Engine(1);
  SessionToken Token = *openSession("counter 3", Now, absl::Hours(12), Engine);
  for (std::int64_t I = 0; I < Services; ++I)
    Token = *Token.withSeen(absl::StrCat("register-search-", I), 1000 + I);
  return Token;
}

void issueToken(benchmark::State &State) {
  const KeyRing Keys = benchKeys();
  const SessionToken Token = tokenWith(State.range(0));
  std::size_t Bytes = 0;
  for (auto Step : State) {
    const std::string Text = issueSession(Keys, Token, Now);
    Bytes = Text.size();
    benchmark::DoNotOptimize(Text.data());
  }
  State.counters["token_bytes"] = static_cast<double>(Bytes);
}
BENCHMARK(issueToken)->Arg(1)->Arg(8)->Arg(64);

void verifyToken(benchmark::State &State) {
  const KeyRing Keys = benchKeys();
  const std::string Text = issueSession(Keys, tokenWith(State.range(0)), Now);
  for (auto Step : State)
    benchmark::DoNotOptimize(verifySession(Keys, Text, Now));
}
BENCHMARK(verifyToken)->Arg(1)->Arg(8)->Arg(64);

void signOneTicket(benchmark::State &State) {
  const KeyRing Keys = benchKeys();
  const Ticket T{"i-17", 1'700'000'000'000, 12345, Now};
  std::size_t Bytes = 0;
  for (auto Step : State) {
    const std::string Text = signTicket(Keys, T, Now);
    Bytes = Text.size();
    benchmark::DoNotOptimize(Text.data());
  }
  State.counters["ticket_bytes"] = static_cast<double>(Bytes);
}
BENCHMARK(signOneTicket);

void verifyOneTicket(benchmark::State &State) {
  const KeyRing Keys = benchKeys();
  const std::string Text =
      signTicket(Keys, {"i-17", 1'700'000'000'000, 12345, Now}, Now);
  for (auto Step : State)
    benchmark::DoNotOptimize(verifyTicket(Keys, Text));
}
BENCHMARK(verifyOneTicket);

} // namespace
} // namespace quetzallead
