#include "runtime/PeerScope.h"

namespace quetzallead {

static thread_local const PeerScope *Innermost = nullptr;

PeerScope::PeerScope(const char *GivenActivity, Describe GivenAddress,
                     const void *GivenPeer)
    : Activity(GivenActivity), Address(GivenAddress), Peer(GivenPeer),
      Outer(Innermost) {
  Innermost = this;
}

PeerScope::~PeerScope() { Innermost = Outer; }

const PeerScope *PeerScope::current() { return Innermost; }

} // namespace quetzallead
