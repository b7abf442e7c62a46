#include "quetzallead/RetryBudget.h"
#include <algorithm>

namespace quetzallead {

/// Tokens are counted in thousandths of an attempt.
static constexpr std::int64_t TokensPerAttempt = 1000;
/// Most extra attempts that can be saved up.
static constexpr std::int64_t TokenLimit = 40 * TokensPerAttempt;
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

bool RetryBudget::spend(std::int64_t Floor) {
  std::int64_t Now = Tokens.load(std::memory_order_relaxed);
  while (Now - TokensPerAttempt >= Floor)
    if (Tokens.compare_exchange_weak(Now, Now - TokensPerAttempt,
                                     std::memory_order_relaxed))
      return true;
  return false;
}

bool RetryBudget::spendOnRetry() { return spend(0); }

bool RetryBudget::spendOnHedge() { return spend(RetryReserve); }

double RetryBudget::available() const {
  return static_cast<double>(Tokens.load(std::memory_order_relaxed)) /
         static_cast<double>(TokensPerAttempt);
}

} // namespace quetzallead
