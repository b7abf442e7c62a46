#ifndef QUETZALLEAD_TESTS_SUPPORT_WAITUNTIL_H
#define QUETZALLEAD_TESTS_SUPPORT_WAITUNTIL_H

#include "quetzallead/Time.h"
#include <functional>

namespace quetzallead {

/// Limit on waits for something that is certain to come in a sound program.
inline constexpr Duration GenerousLimit = absl::Seconds(30);

/// Asks \p Condition every few milliseconds until it is true. False if
/// \p Limit passed; it is asked at least once.
bool waitUntil(const std::function<bool()> &Condition,
               Duration Limit = GenerousLimit);

} // namespace quetzallead

#endif // QUETZALLEAD_TESTS_SUPPORT_WAITUNTIL_H
