#ifndef QUETZALLEAD_CORE_RELAY_LINKADMISSION_H
#define QUETZALLEAD_CORE_RELAY_LINKADMISSION_H

#include "core/relay/Route.h"
#include "quetzallead/NameTable.h"
#include <cstdint>

namespace quetzallead {

/// Why a home passes a request back, not run.
enum class PassBackReason {
  None,          ///< It serves the request.
  Stopping,      ///< It is shutting down.
  NotReady,      ///< It has not read the sheet or the servers yet.
  StoreLost,     ///< It has lost the store, another home has not.
  OlderSheet,    ///< The asking instance has seen a newer sheet.
  NotRepeatable, ///< Its route does not let a second home have the request.
  NoServers,     ///< It reaches no backend server for it.
};

inline constexpr NamedValue<PassBackReason> PassBackReasonNames[] = {
    {PassBackReason::None, "none"},
    {PassBackReason::Stopping, "stopping"},
    {PassBackReason::NotReady, "not ready"},
    {PassBackReason::StoreLost, "store lost"},
    {PassBackReason::OlderSheet, "older sheet"},
    {PassBackReason::NotRepeatable, "not repeatable"},
    {PassBackReason::NoServers, "no servers in reach"},
};

/// What a home knows of itself and of a request that another instance forwards.
struct LinkAdmission {
  bool Stopping = false;
  bool Ready = true;
  /// It has lost the store, and another home has not.
  bool HandsOver = false;
  /// Another home has passed the request back.
  bool PassedBack = false;
  std::uint64_t SheetVersion = 0;
  /// Highest version that the asking instance has seen.
  std::uint64_t AskersVersion = 0;
  /// The asking instance would send the request to another home if this one is
  /// lost.
  bool AskerRepeats = false;
  /// The route that the request matches here; null if it matches none.
  const Route *Matched = nullptr;
};

/// The first reason that applies, without NoServers.
PassBackReason passBackReason(const LinkAdmission &Admission);

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_LINKADMISSION_H
