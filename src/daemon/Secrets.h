#ifndef QUETZALLEAD_DAEMON_SECRETS_H
#define QUETZALLEAD_DAEMON_SECRETS_H

#include "daemon/SessionKey.h"
#include "quetzallead/Error.h"
#include <string>
#include <vector>

namespace quetzallead {

/// What the secrets file holds. Never logged, printed or put on a page.
struct Secrets {
  /// Raw keys shared by all instances. The first proves this instance to
  /// others; any of them proves others to it.
  std::vector<std::string> PeerKeys;
  /// Bearer token of operators.
  std::string OperatorToken;
  /// In the order of the file; at least one.
  std::vector<SessionKey> SessionKeys;
};

/// Reads secrets from JSON with comments. Errors name fields, never values.
Result<Secrets> parseSecrets(absl::string_view Text);

/// As parseSecrets(), from a file. Fails with NotFound if it cannot be read
/// and with PermissionDenied if users other than owner and group may read it.
Result<Secrets> loadSecrets(const std::string &Path);

} // namespace quetzallead

#endif // QUETZALLEAD_DAEMON_SECRETS_H
