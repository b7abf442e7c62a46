#ifndef QUETZALLEAD_RELAY_PEERKIND_H
#define QUETZALLEAD_RELAY_PEERKIND_H

#include "quetzallead/NameTable.h"

namespace quetzallead {

/// Who is at the other end of a connection.
enum class PeerKind {
  Caller,
  Prober,   ///< Asks whether the instance is ready.
  Scraper,  ///< Reads metrics.
  Instance, ///< Another instance, or who has its address for links.
  Server,   ///< A backend server.
  Store,
};

inline constexpr NamedValue<PeerKind> PeerKindNames[] = {
    {PeerKind::Caller, "caller"},   {PeerKind::Prober, "prober"},
    {PeerKind::Scraper, "scraper"}, {PeerKind::Instance, "instance"},
    {PeerKind::Server, "server"},   {PeerKind::Store, "store"},
};

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_PEERKIND_H
