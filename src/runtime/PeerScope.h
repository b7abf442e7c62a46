#ifndef QUETZALLEAD_RUNTIME_PEERSCOPE_H
#define QUETZALLEAD_RUNTIME_PEERSCOPE_H

#include <string>

namespace quetzallead {

/// While it exists, the thread works on bytes of a peer. The report of an
/// exception that nobody handles names them.
class PeerScope {
public:
  /// Returns the address of \p Peer.
  using Describe = std::string (*)(const void *Peer);

  PeerScope(const char *Activity, Describe Address, const void *Peer);
  ~PeerScope();
  PeerScope(const PeerScope &) = delete;
  PeerScope &operator=(const PeerScope &) = delete;

  /// The innermost one of this thread; null if there is none.
  static const PeerScope *current();
  const char *activity() const { return Activity; }
  std::string address() const { return Address(Peer); }

private:
  const char *const Activity;
  const Describe Address;
  const void *const Peer;
  const PeerScope *const Outer;
};

} // namespace quetzallead

#endif // QUETZALLEAD_RUNTIME_PEERSCOPE_H
