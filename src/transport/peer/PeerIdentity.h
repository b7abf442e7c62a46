#ifndef QUETZALLEAD_TRANSPORT_PEER_PEERIDENTITY_H
#define QUETZALLEAD_TRANSPORT_PEER_PEERIDENTITY_H

#include <cstdint>
#include <string>

namespace quetzallead {

/// Who an instance says it is; proved by the shared key.
struct PeerIdentity {
  /// Name of the instance, unique in the deployment.
  std::string Instance;
  std::string Zone;
  /// Grows with every start of the instance.
  std::uint64_t Incarnation = 0;
  /// "ip:port" of its peer listener.
  std::string Address;

  friend bool operator==(const PeerIdentity &A, const PeerIdentity &B) {
    return A.Instance == B.Instance && A.Zone == B.Zone &&
           A.Incarnation == B.Incarnation && A.Address == B.Address;
  }
};

} // namespace quetzallead

#endif // QUETZALLEAD_TRANSPORT_PEER_PEERIDENTITY_H
