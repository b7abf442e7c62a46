#ifndef QUETZALLEAD_DAEMON_SESSIONKEY_H
#define QUETZALLEAD_DAEMON_SESSIONKEY_H

#include "quetzallead/Time.h"
#include <string>

namespace quetzallead {

/// A key that signs session tokens.
struct SessionKey {
  /// Travels in tokens, to find the key again.
  std::string Id;
  /// The raw key.
  std::string Secret;
  /// Tokens are signed with the newest key whose time has come; all keys
  /// verify at all times.
  TimePoint NotBefore = absl::InfinitePast();
};

} // namespace quetzallead

#endif // QUETZALLEAD_DAEMON_SESSIONKEY_H
