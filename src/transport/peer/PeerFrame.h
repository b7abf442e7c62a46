#ifndef QUETZALLEAD_TRANSPORT_PEER_PEERFRAME_H
#define QUETZALLEAD_TRANSPORT_PEER_PEERFRAME_H

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>

namespace quetzallead {

/// Largest frame between instances, bytes on the wire.
inline constexpr std::size_t MaxPeerFrameBytes = 2 << 20;

/// One message between instances. The body's strings must be UTF-8.
struct PeerFrame {
  std::string Type;
  nlohmann::json Body;
};

} // namespace quetzallead

#endif // QUETZALLEAD_TRANSPORT_PEER_PEERFRAME_H
