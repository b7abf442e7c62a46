#ifndef QUETZALLEAD_CORE_SESSION_SESSIONTOKEN_H
#define QUETZALLEAD_CORE_SESSION_SESSIONTOKEN_H

#include "absl/container/btree_map.h"
#include "absl/strings/string_view.h"
#include "quetzallead/Error.h"
#include "quetzallead/Time.h"
#include <cstddef>
#include <cstdint>
#include <random>
#include <string>

namespace quetzallead {

class KeyRing;

/// The whole state of a session. It travels with the caller as a signed text
/// and is good at every instance that shares the key ring; no instance
/// remembers anything of it. Times are kept to the millisecond.
struct SessionToken {
  std::string SessionId;
  /// Name that the caller gave; may be empty.
  std::string Caller;
  TimePoint Issued;
  TimePoint Expires;
  /// Greatest index version that the session has seen, by service.
  absl::btree_map<std::string, std::uint64_t> Seen;

  /// Most services that one session may have seen.
  static constexpr std::size_t MaxSeenServices = 64;
  /// Longest name of a service, session or caller, in bytes.
  static constexpr std::size_t MaxNameBytes = 64;

  /// Greatest version of \p Service the session has seen, 0 if none.
  std::uint64_t seenVersion(absl::string_view Service) const;

  /// This token after an answer from \p Version of \p Service. Fails with
  /// ResourceExhausted if the session has seen too many services: forgetting
  /// one could show it an older version later.
  Result<SessionToken> withSeen(absl::string_view Service,
                                std::uint64_t Version) const;

  /// This token with a life of \p Lifetime from \p Now, if that is longer.
  SessionToken renewed(TimePoint Now, Duration Lifetime) const;

  friend bool operator==(const SessionToken &A, const SessionToken &B) {
    return A.SessionId == B.SessionId && A.Caller == B.Caller &&
           A.Issued == B.Issued && A.Expires == B.Expires && A.Seen == B.Seen;
  }
};

/// A new session with a random id of 128 bits. Fails with InvalidArgument if
/// the name of the caller is too long.
Result<SessionToken> openSession(absl::string_view Caller, TimePoint Now,
                                 Duration Lifetime, std::mt19937_64 &Engine);

/// \p Token as the text that the caller carries.
std::string issueSession(const KeyRing &Keys, const SessionToken &Token,
                         TimePoint Now);

/// The session that \p Text states. Fails with PermissionDenied and a
/// TokenFault.
Result<SessionToken> verifySession(const KeyRing &Keys, absl::string_view Text,
                                   TimePoint Now);

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_SESSION_SESSIONTOKEN_H
