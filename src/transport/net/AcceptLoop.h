#ifndef QUETZALLEAD_TRANSPORT_NET_ACCEPTLOOP_H
#define QUETZALLEAD_TRANSPORT_NET_ACCEPTLOOP_H

#include <functional>
#include <mutex>
#include <sys/socket.h>
#include <thread>

namespace quetzallead {

/// A thread that accepts connections until it is told to stop.
class AcceptLoop {
public:
  /// Takes each new connection, non-blocking, and owns it from then on. Called
  /// on the loop's thread.
  using OnAccepted =
      std::function<void(int Socket, const sockaddr *Peer, socklen_t Length)>;

  /// Accepts from the listening socket \p Listener, which it owns.
  AcceptLoop(int Listener, OnAccepted Callback);
  AcceptLoop(const AcceptLoop &) = delete;
  AcceptLoop &operator=(const AcceptLoop &) = delete;
  ~AcceptLoop();

  /// Closes the listening socket; connections that nobody accepted yet are
  /// reset. Returns when no callback runs any more. Not for the loop's thread.
  void stop();

private:
  void run();
  void acceptAll();

  const OnAccepted Accepted;
  const int ListenDescriptor;
  const int StopDescriptor;
  std::mutex Lock;
  bool Stopped = false;
  std::thread Thread;
};

} // namespace quetzallead

#endif // QUETZALLEAD_TRANSPORT_NET_ACCEPTLOOP_H
