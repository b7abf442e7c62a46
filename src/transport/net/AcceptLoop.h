#ifndef QUETZALLEAD_TRANSPORT_NET_ACCEPTLOOP_H
#define QUETZALLEAD_TRANSPORT_NET_ACCEPTLOOP_H

#include <functional>
#include <sys/socket.h>
#include <thread>

namespace quetzallead {

/// Accepts connections on a listening socket, on a thread of its own.
class AcceptLoop {
public:
  /// Takes over \p Descriptor, a connected socket.
  using Handler = std::function<void(int Descriptor, const sockaddr *Address,
                                     socklen_t AddressSize)>;

  /// Owns \p ListenDescriptor, which must be non-blocking, from then on.
  AcceptLoop(int ListenDescriptor, Handler OnAccepted);
  ~AcceptLoop();
  AcceptLoop(const AcceptLoop &) = delete;
  AcceptLoop &operator=(const AcceptLoop &) = delete;

  /// Hands over the connections that the kernel has already taken, then closes
  /// the listening socket. Returns when that is done; later calls do nothing.
  void stop();

private:
  void run();
  void acceptAll();

  int ListenDescriptor;
  int WakeDescriptor;
  const Handler OnAccepted;
  std::thread Thread;
};

} // namespace quetzallead

#endif // QUETZALLEAD_TRANSPORT_NET_ACCEPTLOOP_H
