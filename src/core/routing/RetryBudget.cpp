#include "quetzallead/RetryBudget.h"
#include <algorithm>

namespace quetzallead {

/// Tokens are counted in thousandths of an attempt.
static constexpr std::int64_t TokensPerAttempt = 1000;
/// Most extra attempts that can be saved up.
static constexpr std::int64_t TokenLimit = 40 * TokensPerAttempt;
/// Extra attempts per second that come with time.
static constexpr std::int64_t AttemptsPerSecond = 10;
static constexpr std::int64_t NanosPerToken =
    1'000'000'000 / (AttemptsPerSecond * TokensPerAttempt);
/// Attempts kept back from hedges for retries.
static constexpr std::int64_t RetryReserve = 10 * TokensPerAttempt;

RetryBudget::RetryBudget(double Share)
    : EarnedPerAttempt(static_cast<std::int64_t>(
          Share * static_cast<double>(TokensPerAttempt))),
      Tokens(TokenLimit) {}

void RetryBudget::earn() { add(EarnedPerAttempt); }

void RetryBudget::refund() { add(TokensPerAttempt); }

void RetryBudget::add(std::int64_t Amount) {
  std::int64_t Now = Tokens.load(std::memory_order_relaxed);
  while (Now < TokenLimit) {
    std::int64_t Next = std::min(TokenLimit, Now + Amount);
    if (Tokens.compare_exchange_weak(Now, Next, std::memory_order_relaxed))
      return;
  }
}

void RetryBudget::refill(TimePoint Now) {
  std::int64_t NowNanos = absl::ToUnixNanos(Now);
  std::int64_t Since = RefilledNanos.load(std::memory_order_relaxed);
  std::int64_t Earned = Since == 0 ? 0 : (NowNanos - Since) / NanosPerToken;
  if (Since != 0 && Earned <= 0)
    return;
  if (RefilledNanos.compare_exchange_strong(Since, NowNanos,
                                            std::memory_order_relaxed))
    add(std::min(Earned, TokenLimit));
}

bool RetryBudget::spend(std::int64_t Floor) {
  std::int64_t Now = Tokens.load(std::memory_order_relaxed);
  while (Now - TokensPerAttempt >= Floor)
    if (Tokens.compare_exchange_weak(Now, Now - TokensPerAttempt,
                                     std::memory_order_relaxed))
      return true;
  return false;
}

bool RetryBudget::spendOnRetry(TimePoint Now) {
  refill(Now);
  return spend(0);
}

bool RetryBudget::spendOnHedge(TimePoint Now) {
  refill(Now);
  return spend(RetryReserve);
}

double RetryBudget::available(TimePoint Now) {
  refill(Now);
  return available();
}

double RetryBudget::available() const {
  return static_cast<double>(Tokens.load(std::memory_order_relaxed)) /
         static_cast<double>(TokensPerAttempt);
}

} // namespace quetzallead
