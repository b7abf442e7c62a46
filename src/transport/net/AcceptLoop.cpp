#include "transport/net/AcceptLoop.h"
#include <cerrno>
#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace quetzallead {
namespace {

/// Pause after a failure that may last, such as too many open files.
constexpr int RetryPauseMs = 10;

} // namespace

AcceptLoop::AcceptLoop(int Listener, OnAccepted Callback)
    : Accepted(std::move(Callback)), ListenDescriptor(Listener),
      StopDescriptor(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)),
      Thread([this] { run(); }) {}

AcceptLoop::~AcceptLoop() {
  stop();
  close(StopDescriptor);
}

void AcceptLoop::stop() {
  std::lock_guard<std::mutex> Guard(Lock);
  if (Stopped)
    return;
  Stopped = true;
  eventfd_write(StopDescriptor, 1);
  Thread.join();
  close(ListenDescriptor);
}

void AcceptLoop::run() {
  pollfd Waiting[] = {{StopDescriptor, POLLIN, 0},
                      {ListenDescriptor, POLLIN, 0}};
  for (;;) {
    poll(Waiting, 2, -1);
    if (Waiting[0].revents != 0)
      return;
    if (Waiting[1].revents != 0)
      acceptAll();
  }
}

void AcceptLoop::acceptAll() {
  for (;;) {
    sockaddr_storage Peer = {};
    socklen_t Length = sizeof(Peer);
    auto *Raw = reinterpret_cast<sockaddr *>(&Peer);
    int Socket =
        accept4(ListenDescriptor, Raw, &Length, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (Socket >= 0) {
      Accepted(Socket, Raw, Length);
      continue;
    }
    if (errno == EINTR || errno == ECONNABORTED)
      continue;
    if (errno != EAGAIN) {
      pollfd Stop = {StopDescriptor, POLLIN, 0};
      poll(&Stop, 1, RetryPauseMs);
    }
    return;
  }
}

} // namespace quetzallead
