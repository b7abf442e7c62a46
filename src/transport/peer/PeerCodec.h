#ifndef QUETZALLEAD_TRANSPORT_PEER_PEERCODEC_H
#define QUETZALLEAD_TRANSPORT_PEER_PEERCODEC_H

#include "absl/strings/string_view.h"
#include "transport/peer/PeerFrame.h"
#include <cstdint>
#include <optional>
#include <string>

namespace quetzallead {

/// Deepest nesting of arrays and maps in a frame.
inline constexpr int MaxPeerFrameDepth = 64;

/// How a frame takes part in a call.
enum class PeerFrameKind {
  Message, ///< Stands alone.
  Call,    ///< Asks for an answer under its call id.
  Answer,  ///< Answers the call with its call id.
};

/// A frame as it travels: a CBOR map with the type "t", the body "b", and for
/// a call or an answer its id as "c" or "a".
struct PeerEnvelope {
  PeerFrameKind Kind = PeerFrameKind::Message;
  std::uint64_t CallId = 0;
  PeerFrame Frame;
};

std::string encodePeerEnvelope(const PeerEnvelope &Envelope);

/// The envelope in \p Bytes; nothing if they are not exactly one well-formed,
/// not too deeply nested envelope. Never throws, whatever the bytes.
std::optional<PeerEnvelope> decodePeerEnvelope(absl::string_view Bytes);

} // namespace quetzallead

#endif // QUETZALLEAD_TRANSPORT_PEER_PEERCODEC_H
