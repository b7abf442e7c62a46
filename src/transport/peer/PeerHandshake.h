#ifndef QUETZALLEAD_TRANSPORT_PEER_PEERHANDSHAKE_H
#define QUETZALLEAD_TRANSPORT_PEER_PEERHANDSHAKE_H

#include "transport/peer/PeerFrame.h"
#include "transport/peer/PeerIdentity.h"
#include <optional>
#include <string>
#include <vector>

namespace quetzallead {

/// The mutual authentication of one link, as a state machine over frames:
///
///   dialler  -> acceptor  hello      identity, nonce
///   acceptor -> dialler   challenge  identity, nonce, proof
///   dialler  -> acceptor  proof      proof
///
/// A proof is HMAC-SHA256 over the prover's role, both identities and both
/// nonces, so neither side can send back what the other one proved.
class PeerHandshake {
public:
  enum class State {
    Running,
    Done,   ///< The peer proved a key; peer() is who it is.
    Failed, ///< Close the connection; defect() says why.
  };

  /// The dialling side; \p Keys must not be empty.
  static PeerHandshake dial(PeerIdentity Self, std::vector<std::string> Keys);
  /// The accepting side.
  static PeerHandshake accept(PeerIdentity Self, std::vector<std::string> Keys);

  /// The frame that the dialling side begins with.
  PeerFrame hello() const;
  /// Takes the peer's next frame and returns the frame to send, if any.
  std::optional<PeerFrame> receive(const PeerFrame &Frame);

  State state() const { return Current; }
  bool isDialler() const { return Dialler; }
  const PeerIdentity &peer() const { return Peer; }
  const std::string &defect() const { return Defect; }

private:
  PeerHandshake(PeerIdentity Own, std::vector<std::string> SharedKeys,
                bool IsDialler);

  std::optional<PeerFrame> receiveHello(const PeerFrame &Frame);
  std::optional<PeerFrame> receiveChallenge(const PeerFrame &Frame);
  void receiveProof(const PeerFrame &Frame);
  bool readPeer(const PeerFrame &Frame);
  std::string transcript(bool DiallersProof) const;
  std::string prove() const;
  bool verify(const PeerFrame &Frame);
  void failWith(std::string Reason);

  PeerIdentity Self;
  std::vector<std::string> Keys;
  bool Dialler;
  std::string Nonce;
  PeerIdentity Peer;
  std::string PeerNonce;
  State Current = State::Running;
  std::string Defect;
};

} // namespace quetzallead

#endif // QUETZALLEAD_TRANSPORT_PEER_PEERHANDSHAKE_H
