#ifndef QUETZALLEAD_CORE_RELAY_HANDOVER_H
#define QUETZALLEAD_CORE_RELAY_HANDOVER_H

#include "quetzallead/NameTable.h"

namespace quetzallead {

/// What becomes of a request that this instance cannot serve because it reaches
/// no backend server for it.
enum class HandOver {
  None,     ///< It ends here.
  ToHome,   ///< It goes to a home.
  PassBack, ///< The asking instance sends it to another home.
  Abandon,  ///< The asking instance is told that it may have been executed.
};

inline constexpr NamedValue<HandOver> HandOverNames[] = {
    {HandOver::None, "none"},
    {HandOver::ToHome, "to_home"},
    {HandOver::PassBack, "pass_back"},
    {HandOver::Abandon, "abandon"},
};

/// What the choice depends on.
struct HandOverQuestion {
  /// This instance has lost the backend servers, or suspects that it has.
  bool ServersLost = false;
  /// No connection to the servers that the request needs can be established.
  bool OutOfReach = false;
  /// The request came from another instance rather than from a caller.
  bool FromInstance = false;
  /// Another instance could not serve the request either.
  bool HandedOver = false;
  /// A home is known that has not said that it has lost the servers.
  bool HomeAvailable = false;
  /// No home could serve a request of this route a moment ago.
  bool KnownUnservable = false;
  /// An attempt of this instance may have been executed.
  bool Begun = false;
  /// RelayRequest::mayBeRepeated().
  bool MayBeRepeated = true;
};

/// A request moves from one instance to another once, and never on: a home
/// only passes it back to the instance that it came from. If the servers of a
/// single route are out of reach, they may be down for all instances, and
/// fewer homes are asked.
HandOver chooseHandOver(const HandOverQuestion &Question);

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_HANDOVER_H
