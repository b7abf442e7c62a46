#ifndef QUETZALLEAD_RETRYBUDGET_H
#define QUETZALLEAD_RETRYBUDGET_H

#include "quetzallead/Time.h"
#include <atomic>
#include <cstdint>

namespace quetzallead {

/// Bounds the extra load of one service: retries and hedges spend what first
/// attempts earn, and a little that comes with time, so that a service with few
/// requests can retry as well. Thread-safe.
class RetryBudget {
public:
  /// \p Share is the extra attempts allowed per first attempt, 0 to 1.
  explicit RetryBudget(double Share);

  /// A first attempt was sent.
  void earn();
  /// Takes what a retry costs; false if the budget is exhausted.
  bool spendOnRetry(TimePoint Now);
  /// Takes what a hedge costs; false if less than the part reserved for
  /// retries would be left.
  bool spendOnHedge(TimePoint Now);
  /// Gives back what an attempt cost that was not sent after all.
  void refund();
  /// Extra attempts that could be paid for when last counted.
  double available() const;
  /// As available(), with what came with time until \p Now.
  double available(TimePoint Now);

private:
  void add(std::int64_t Amount);
  void refill(TimePoint Now);
  bool spend(std::int64_t Floor);

  std::int64_t EarnedPerAttempt;
  std::atomic<std::int64_t> Tokens;
  /// When the tokens that came with time were last counted; 0 before.
  std::atomic<std::int64_t> RefilledNanos{0};
};

} // namespace quetzallead

#endif // QUETZALLEAD_RETRYBUDGET_H
