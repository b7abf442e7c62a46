#ifndef QUETZALLEAD_RELAY_REJECTREASON_H
#define QUETZALLEAD_RELAY_REJECTREASON_H

#include "quetzallead/NameTable.h"

namespace quetzallead {

/// Why a request was turned away before it met a route.
enum class RejectReason {
  NoSheet,   ///< No sheet has been read yet.
  NoServers, ///< The backend servers have not been read yet.
  Stopping,  ///< The instance is about to end.
  NoHost,    ///< The request names no host.
  NoRoute,   ///< The sheet has no route for it.
};

inline constexpr NamedValue<RejectReason> RejectReasonNames[] = {
    {RejectReason::NoSheet, "no_sheet"},
    {RejectReason::NoServers, "no_servers"},
    {RejectReason::Stopping, "stopping"},
    {RejectReason::NoHost, "no_host"},
    {RejectReason::NoRoute, "no_route"},
};

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_REJECTREASON_H
