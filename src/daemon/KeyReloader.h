#ifndef QUETZALLEAD_DAEMON_KEYRELOADER_H
#define QUETZALLEAD_DAEMON_KEYRELOADER_H

#include "core/session/KeyRing.h"
#include "runtime/TimerService.h"
#include <functional>
#include <memory>
#include <string>

namespace quetzallead {

struct Secrets;

/// The key ring of the session keys in \p S. Fails with InvalidArgument.
Result<KeyRing> makeKeyRing(const Secrets &S);

/// Reads the secrets file again when its text has changed and hands on its
/// session keys. A file that cannot be read or is wrong changes nothing.
class KeyReloader {
public:
  using Handler = std::function<void(std::shared_ptr<const KeyRing>)>;

  KeyReloader(std::string SecretsFile, TimerService &Timers, Handler OnKeys);

private:
  void check();

  const std::string Path;
  const Handler OnKeys;
  /// Digest of the text that was read last.
  std::string LastDigest;
  std::shared_ptr<TimerService::Subscription> Ticker;
};

} // namespace quetzallead

#endif // QUETZALLEAD_DAEMON_KEYRELOADER_H
