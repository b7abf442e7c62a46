#include "transport/RawListener.h"
#include "absl/strings/str_cat.h"
#include "transport/net/ListenSocket.h"
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace quetzallead {
namespace {

constexpr int WaitLimitMs = 20000;

bool isReadable(int Descriptor, int TimeoutMs) {
  pollfd Poll = {Descriptor, POLLIN, 0};
  return poll(&Poll, 1, TimeoutMs) > 0;
}

} // namespace

RawListener::RawListener() {
  auto Opened = capture([] { return openListenSocket("127.0.0.1:0"); });
  if (const int *Socket = std::get_if<int>(&Opened))
    Descriptor = *Socket;
}

RawListener::~RawListener() { ::close(Descriptor); }

std::string RawListener::address() const {
  return absl::StrCat("127.0.0.1:", boundPort(Descriptor));
}

RawConnection RawListener::accept() {
  if (!isReadable(Descriptor, WaitLimitMs))
    return RawConnection(-1);
  return RawConnection(accept4(Descriptor, nullptr, nullptr, SOCK_CLOEXEC));
}

bool RawListener::hasPending() const { return isReadable(Descriptor, 0); }

} // namespace quetzallead
