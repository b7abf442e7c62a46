#ifndef QUETZALLEAD_TRANSPORT_PEER_PEERLINKCHOICE_H
#define QUETZALLEAD_TRANSPORT_PEER_PEERLINKCHOICE_H

#include <cstdint>

namespace quetzallead {

/// What decides between two links to the same instance.
struct PeerLinkRank {
  std::uint64_t PeerIncarnation = 0;
  /// True if the instance whose name sorts first dialled the link.
  bool DialledByFirst = false;
};

/// True if \p Fresh, just authenticated, takes the place of \p Standing. Both
/// ends decide alike: the newer incarnation wins, then the link dialled by the
/// first name, then the fresh one, since its dialler has given up the other.
inline bool replacesLink(const PeerLinkRank &Fresh,
                         const PeerLinkRank &Standing) {
  if (Fresh.PeerIncarnation != Standing.PeerIncarnation)
    return Fresh.PeerIncarnation > Standing.PeerIncarnation;
  return Fresh.DialledByFirst || !Standing.DialledByFirst;
}

} // namespace quetzallead

#endif // QUETZALLEAD_TRANSPORT_PEER_PEERLINKCHOICE_H
