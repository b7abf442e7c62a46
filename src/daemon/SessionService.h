#ifndef QUETZALLEAD_DAEMON_SESSIONSERVICE_H
#define QUETZALLEAD_DAEMON_SESSIONSERVICE_H

#include "absl/base/thread_annotations.h"
#include "core/session/KeyRing.h"
#include "core/session/SessionToken.h"
#include "daemon/RcuCell.h"
#include "quetzallead/Error.h"
#include "quetzallead/PosixMutex.h"
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace quetzallead {

/// Opens, resumes and renews sessions with the fleet's signing keys. Holds
/// nothing of any session. Thread-safe.
class SessionService {
public:
  SessionService(std::shared_ptr<const KeyRing> Keys, std::uint64_t Seed);

  /// Follows a rotation of the keys.
  void replaceKeys(std::shared_ptr<const KeyRing> Keys);
  std::shared_ptr<const KeyRing> keys() const { return Keys.read(); }

  /// Fails with InvalidArgument if \p Caller is too long.
  Result<SessionToken> open(const std::string &Caller, TimePoint Now);
  /// The session that \p Text states. Fails with PermissionDenied if it is
  /// forged, altered or expired.
  Result<SessionToken> resume(const std::string &Text, TimePoint Now) const;
  /// The text to carry next, after an answer from \p Version of \p Service; its
  /// life is renewed. Version 0 records nothing.
  std::string renew(const SessionToken &Token, const std::string &Service,
                    std::uint64_t Version, TimePoint Now) const;

private:
  RcuCell<KeyRing> Keys;
  PosixMutex EngineMutex;
  std::mt19937_64 Engine ABSL_GUARDED_BY(EngineMutex);
};

} // namespace quetzallead

#endif // QUETZALLEAD_DAEMON_SESSIONSERVICE_H
