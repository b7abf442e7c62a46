#include "support/WaitUntil.h"
#include "absl/time/clock.h"
#include <chrono>

namespace quetzallead {

static constexpr Duration PollInterval = absl::Milliseconds(5);

bool waitUntil(const std::function<bool()> &Condition, Duration Limit) {
  const auto Start = std::chrono::steady_clock::now();
  for (;;) {
    if (Condition())
      return true;
    const auto Passed = std::chrono::steady_clock::now() - Start;
    if (absl::FromChrono(Passed) >= Limit)
      return false;
    absl::SleepFor(PollInterval);
  }
}

} // namespace quetzallead
