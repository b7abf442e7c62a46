#ifndef QUETZALLEAD_CORE_MEMBERSHIP_GOSSIPMESSAGE_H
#define QUETZALLEAD_CORE_MEMBERSHIP_GOSSIPMESSAGE_H

#include "core/membership/DepartureNotice.h"
#include "core/membership/GossipKind.h"
#include "core/membership/MemberRecord.h"
#include "core/membership/ServerNotice.h"
#include "core/membership/SheetReport.h"
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace quetzallead {

/// One message of the membership protocol.
struct GossipMessage {
  GossipKind Kind = GossipKind::Push;
  /// The sender itself.
  MemberRecord Sender;
  /// Pairs an Ack with its Ping or PingRequest.
  std::uint64_t Number = 0;
  /// PingRequest: whom to ping. Ack: who answered, if not the sender.
  std::string Target;
  /// Digest of all that the sender believes.
  std::uint64_t Digest = 0;
  /// SyncRequest: digests of the buckets. Sync: numbers of the buckets sent.
  std::vector<std::uint64_t> Buckets;
  std::vector<MemberRecord> Members;
  std::vector<SheetReport> Sheets;
  std::vector<ServerNotice> Servers;
  std::vector<DepartureNotice> Departures;

  /// Largest encoded message, bytes.
  static constexpr std::size_t MaxBytes = 16384;
  /// Buckets that members and notices are divided into by their names.
  static constexpr std::size_t BucketCount = 32;
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_MEMBERSHIP_GOSSIPMESSAGE_H
