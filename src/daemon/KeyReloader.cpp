#include "daemon/KeyReloader.h"
#include "core/base/Digest.h"
#include "daemon/Secrets.h"
#include "runtime/FileText.h"
#include "runtime/Logger.h"
#include <utility>
#include <vector>

namespace quetzallead {

static constexpr Duration CheckPeriod = absl::Seconds(2);
static constexpr std::size_t MaxSecretsBytes = std::size_t{64} << 10;

Result<KeyRing> makeKeyRing(const Secrets &S) {
  std::vector<SigningKey> Keys;
  for (const SessionKey &Key : S.SessionKeys)
    Keys.push_back(SigningKey{Key.Id, Key.Secret, Key.NotBefore});
  return KeyRing::make(std::move(Keys));
}

/// The digest of the file's text; empty if it cannot be read.
static std::string digestOfFile(const std::string &Path) {
  auto Text = capture([&] { return readFileText(Path, MaxSecretsBytes); });
  const auto *Read = std::get_if<std::string>(&Text);
  return Read == nullptr ? std::string() : sha256Hex(*Read);
}

KeyReloader::KeyReloader(std::string SecretsFile, TimerService &Timers,
                         Handler Do)
    : Path(std::move(SecretsFile)), OnKeys(std::move(Do)),
      LastDigest(digestOfFile(Path)) {
  Ticker = Timers.every(CheckPeriod, [this](TimePoint) { check(); });
}

static Result<KeyRing> loadKeyRing(const std::string &Path) {
  Result<Secrets> Loaded = loadSecrets(Path);
  if (!Loaded)
    return Loaded.error();
  return makeKeyRing(Loaded.value());
}

void KeyReloader::check() {
  std::string Digest = digestOfFile(Path);
  if (Digest.empty() || Digest == LastDigest)
    return;
  LastDigest = Digest;
  auto Loaded = capture([&] { return loadKeyRing(Path); });
  if (const auto *Fault = std::get_if<Error>(&Loaded)) {
    logEvent(LogLevel::Error, "keys_not_reloaded", {{"reason", Fault->text()}});
    return;
  }
  logEvent(LogLevel::Info, "keys_reloaded");
  OnKeys(std::make_shared<const KeyRing>(std::get<KeyRing>(std::move(Loaded))));
}

} // namespace quetzallead
