#ifndef QUETZALLEAD_RELAY_REJECTREASON_H
#define QUETZALLEAD_RELAY_REJECTREASON_H

#include "quetzallead/NameTable.h"

namespace quetzallead {

/// Why a request was rejected before it was matched to a route.
enum class RejectReason {
  NoSheet,      ///< No sheet has been read yet.
  NoServers,    ///< The backend servers have not been read yet.
  Stopping,     ///< The instance is shutting down.
  NoHost,       ///< The request has no host.
  NoRoute,      ///< No route of the sheet matches.
  EndsServers,  ///< Backend servers have ended under requests of this content.
  UnknownKey,   ///< No account holds the key of the request.
  AccountLimit, ///< The account has reached its limit.
};

inline constexpr NamedValue<RejectReason> RejectReasonNames[] = {
    {RejectReason::NoSheet, "no_sheet"},
    {RejectReason::NoServers, "no_servers"},
    {RejectReason::Stopping, "stopping"},
    {RejectReason::NoHost, "no_host"},
    {RejectReason::NoRoute, "no_route"},
    {RejectReason::EndsServers, "ends_servers"},
    {RejectReason::UnknownKey, "unknown_key"},
    {RejectReason::AccountLimit, "account_limit"},
};

/// The status of the response to a request that is rejected.
unsigned statusOf(RejectReason Reason);

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_REJECTREASON_H
