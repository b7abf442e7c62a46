#ifndef QUETZALLEAD_MISSINGREASON_H
#define QUETZALLEAD_MISSINGREASON_H

#include "quetzallead/NameTable.h"

namespace quetzallead {

/// Why a shard is missing from an answer.
enum class MissingReason {
  Timeout,      ///< No replica answered in time.
  Shed,         ///< Its replicas, or the queue before them, were full.
  NoReplica,    ///< No replica may receive work.
  OtherVersion, ///< Its replicas hold other index versions.
  OtherEpoch,   ///< Its replicas hold another partition epoch.
  Connection,   ///< Connections failed or broke.
  BadReply,     ///< A reply was malformed or belonged to another request.
};

inline constexpr NamedValue<MissingReason> MissingReasonNames[] = {
    {MissingReason::Timeout, "timeout"},
    {MissingReason::Shed, "shed"},
    {MissingReason::NoReplica, "no_replica"},
    {MissingReason::OtherVersion, "other_version"},
    {MissingReason::OtherEpoch, "other_epoch"},
    {MissingReason::Connection, "connection"},
    {MissingReason::BadReply, "bad_reply"},
};

} // namespace quetzallead

#endif // QUETZALLEAD_MISSINGREASON_H
