#ifndef QUETZALLEAD_CORE_SESSION_KEYRING_H
#define QUETZALLEAD_CORE_SESSION_KEYRING_H

#include "absl/strings/string_view.h"
#include "core/session/SigningKey.h"
#include "quetzallead/Error.h"
#include <vector>

namespace quetzallead {

/// The fleet's signing keys. Immutable, never empty.
///
/// A key is rotated without a gap by adding its successor to the settings of
/// every instance with a NotBefore that lies after the last instance's restart,
/// and by removing the old key once all it signed has expired.
class KeyRing {
public:
  /// Fails with InvalidArgument if there is no key, an id is malformed or
  /// occurs twice, or a secret is too short.
  static Result<KeyRing> make(std::vector<SigningKey> Keys);

  /// The newest key whose NotBefore has passed; the first to come if none has.
  const SigningKey &signingKey(TimePoint Now) const;

  /// The key called \p Id, whether its NotBefore has passed or not, since the
  /// clocks of instances differ; null if there is none.
  const SigningKey *find(absl::string_view Id) const;

private:
  explicit KeyRing(std::vector<SigningKey> SortedKeys)
      : Keys(std::move(SortedKeys)) {}

  /// Sorted by NotBefore.
  std::vector<SigningKey> Keys;
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_SESSION_KEYRING_H
