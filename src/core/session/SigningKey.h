#ifndef QUETZALLEAD_CORE_SESSION_SIGNINGKEY_H
#define QUETZALLEAD_CORE_SESSION_SIGNINGKEY_H

#include "quetzallead/Time.h"
#include <string>

namespace quetzallead {

/// One secret key of the fleet, used for HMAC-SHA256.
struct SigningKey {
  /// Travels with everything the key signed: 1 to 16 of [A-Za-z0-9_-].
  std::string Id;
  /// At least MinSecretBytes of random bytes.
  std::string Secret;
  /// Not used for signing before this time.
  TimePoint NotBefore = absl::InfinitePast();

  static constexpr std::size_t MaxIdBytes = 16;
  static constexpr std::size_t MinSecretBytes = 32;
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_SESSION_SIGNINGKEY_H
