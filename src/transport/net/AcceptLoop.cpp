#include "transport/net/AcceptLoop.h"
#include <cerrno>
#include <cstdint>
#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <utility>

namespace quetzallead {

/// Pause after a failure such as too many open files, milliseconds.
static constexpr int FailurePauseMillis = 10;

AcceptLoop::AcceptLoop(int Descriptor, Handler Accepted)
    : ListenDescriptor(Descriptor),
      WakeDescriptor(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)),
      OnAccepted(std::move(Accepted)) {
  Thread = std::thread([this] { run(); });
}

AcceptLoop::~AcceptLoop() { stop(); }

void AcceptLoop::stop() {
  if (!Thread.joinable())
    return;
  std::uint64_t One = 1;
  while (write(WakeDescriptor, &One, sizeof(One)) < 0 && errno == EINTR) {
  }
  Thread.join();
  acceptAll();
  close(ListenDescriptor);
  close(WakeDescriptor);
}

void AcceptLoop::run() {
  pollfd Watched[] = {{ListenDescriptor, POLLIN, 0},
                      {WakeDescriptor, POLLIN, 0}};
  while (true) {
    if (poll(Watched, 2, -1) < 0)
      continue;
    if (Watched[1].revents != 0)
      return;
    acceptAll();
  }
}

void AcceptLoop::acceptAll() {
  while (true) {
    sockaddr_storage Address{};
    socklen_t Size = sizeof(Address);
    auto *Generic = reinterpret_cast<sockaddr *>(&Address);
    int Accepted =
        accept4(ListenDescriptor, Generic, &Size, SOCK_CLOEXEC | SOCK_NONBLOCK);
    if (Accepted >= 0) {
      OnAccepted(Accepted, Generic, Size);
      continue;
    }
    if (errno == EINTR || errno == ECONNABORTED)
      continue;
    if (errno != EAGAIN && errno != EWOULDBLOCK)
      poll(nullptr, 0, FailurePauseMillis);
    return;
  }
}

} // namespace quetzallead
