#ifndef QUETZALLEAD_CORE_MEMBERSHIP_SERVERNOTICE_H
#define QUETZALLEAD_CORE_MEMBERSHIP_SERVERNOTICE_H

#include "core/membership/ServerNoticeState.h"
#include "quetzallead/Time.h"
#include <cstdint>
#include <string>

namespace quetzallead {

/// News of one backend server, spread to all instances.
struct ServerNotice {
  /// The server's name in the sheet.
  std::string Server;
  ServerNoticeState State = ServerNoticeState::Dead;
  /// Orders the notices of one server.
  std::uint64_t Revision = 0;
  /// Not believed after this time. Travels as the time that remains.
  TimePoint Expires;

  static constexpr std::size_t MaxNameBytes = 64;
};

/// True if \p A is to replace \p B, which is of the same server.
bool supersedes(const ServerNotice &A, const ServerNotice &B);

/// A hash of all that gossip has to make equal.
std::uint64_t hashOf(const ServerNotice &Notice);

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_MEMBERSHIP_SERVERNOTICE_H
