#ifndef QUETZALLEAD_TRANSPORT_NET_LISTENSOCKET_H
#define QUETZALLEAD_TRANSPORT_NET_LISTENSOCKET_H

#include "absl/strings/string_view.h"
#include "quetzallead/Error.h"

namespace quetzallead {

/// Opens a non-blocking TCP socket that listens on \p Address, "ip:port" or
/// "[ipv6]:port"; port 0 takes a free one. The caller closes the descriptor.
/// Fails with InvalidArgument if the address is malformed and with Unavailable
/// if it cannot be bound.
Result<int> openListenSocket(absl::string_view Address);

/// The port that the socket \p Descriptor is bound to; 0 if there is none.
int boundPort(int Descriptor);

} // namespace quetzallead

#endif // QUETZALLEAD_TRANSPORT_NET_LISTENSOCKET_H
