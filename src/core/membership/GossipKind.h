#ifndef QUETZALLEAD_CORE_MEMBERSHIP_GOSSIPKIND_H
#define QUETZALLEAD_CORE_MEMBERSHIP_GOSSIPKIND_H

#include "quetzallead/NameTable.h"

namespace quetzallead {

/// What a gossip message asks of its receiver.
enum class GossipKind {
  Ping,        ///< To be answered by an Ack of the same number.
  Ack,         ///< Answers a Ping, or reports that its target answered one.
  PingRequest, ///< Ping the target and report if it answers.
  Push,        ///< News only.
  SyncRequest, ///< Send what differs from the stated digests.
  Sync,        ///< All records of some buckets; send back what is newer.
  SyncEnd,     ///< Records that were newer; ends the exchange.
};

inline constexpr NamedValue<GossipKind> GossipKindNames[] = {
    {GossipKind::Ping, "ping"},
    {GossipKind::Ack, "ack"},
    {GossipKind::PingRequest, "ping_request"},
    {GossipKind::Push, "push"},
    {GossipKind::SyncRequest, "sync_request"},
    {GossipKind::Sync, "sync"},
    {GossipKind::SyncEnd, "sync_end"},
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_MEMBERSHIP_GOSSIPKIND_H
