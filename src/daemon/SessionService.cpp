#include "daemon/SessionService.h"

namespace quetzallead {

/// A session lives this long after its last request.
static constexpr Duration SessionLifetime = absl::Hours(24);

SessionService::SessionService(std::shared_ptr<const KeyRing> Ring,
                               std::uint64_t Seed)
    : Keys(std::move(Ring)), Engine(Seed) {}

void SessionService::replaceKeys(std::shared_ptr<const KeyRing> Ring) {
  Keys.publish(std::move(Ring));
}

Result<SessionToken> SessionService::open(const std::string &Caller,
                                          TimePoint Now) {
  PosixMutexLock Lock(&EngineMutex);
  return openSession(Caller, Now, SessionLifetime, Engine);
}

Result<SessionToken> SessionService::resume(const std::string &Text,
                                            TimePoint Now) const {
  return verifySession(*keys(), Text, Now);
}

std::string SessionService::renew(const SessionToken &Token,
                                  const std::string &Service,
                                  std::uint64_t Version, TimePoint Now) const {
  SessionToken Next = Token.renewed(Now, SessionLifetime);
  if (Version != 0) {
    auto Seen = capture([&] { return Next.withSeen(Service, Version); });
    if (auto *Updated = std::get_if<SessionToken>(&Seen))
      Next = std::move(*Updated);
  }
  return issueSession(*keys(), Next, Now);
}

} // namespace quetzallead
