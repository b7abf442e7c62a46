#include "transport/RawConnection.h"
#include "absl/strings/numbers.h"
#include <arpa/inet.h>
#include <cstdint>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace quetzallead {
namespace {

constexpr int WaitLimitMs = 20000;
constexpr absl::string_view LengthHeader = "Content-Length: ";

} // namespace

RawConnection RawConnection::dial(int Port) {
  int Descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Address = {};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const auto *Raw = reinterpret_cast<const sockaddr *>(&Address);
  if (connect(Descriptor, Raw, sizeof(Address)) != 0) {
    ::close(Descriptor);
    return RawConnection(-1);
  }
  return RawConnection(Descriptor);
}

RawConnection::RawConnection(RawConnection &&Other) noexcept
    : Descriptor(std::exchange(Other.Descriptor, -1)),
      Buffer(std::move(Other.Buffer)) {}

bool RawConnection::send(absl::string_view Bytes) {
  while (!Bytes.empty()) {
    ssize_t Sent = ::send(Descriptor, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (Sent <= 0)
      return false;
    Bytes.remove_prefix(static_cast<std::size_t>(Sent));
  }
  return true;
}

bool RawConnection::fill() {
  pollfd Poll = {Descriptor, POLLIN, 0};
  if (poll(&Poll, 1, WaitLimitMs) <= 0)
    return false;
  char Chunk[16384];
  ssize_t Got = recv(Descriptor, Chunk, sizeof(Chunk), 0);
  if (Got <= 0)
    return false;
  Buffer.append(Chunk, static_cast<std::size_t>(Got));
  return true;
}

std::string RawConnection::readThrough(absl::string_view Marker) {
  std::size_t At = Buffer.find(Marker.data(), 0, Marker.size());
  while (At == std::string::npos) {
    if (!fill())
      return std::exchange(Buffer, std::string());
    At = Buffer.find(Marker.data(), 0, Marker.size());
  }
  return readBytes(At + Marker.size());
}

std::string RawConnection::readBytes(std::size_t Size) {
  while (Buffer.size() < Size && fill()) {
  }
  std::string Out = Buffer.substr(0, Size);
  Buffer.erase(0, Out.size());
  return Out;
}

std::string RawConnection::readResponse() {
  std::string Out = readThrough("\r\n\r\n");
  std::size_t At = Out.find(LengthHeader.data(), 0, LengthHeader.size());
  if (At == std::string::npos)
    return Out;
  At += LengthHeader.size();
  std::size_t Length = 0;
  if (absl::SimpleAtoi(Out.substr(At, Out.find("\r\n", At) - At), &Length))
    Out += readBytes(Length);
  return Out;
}

bool RawConnection::waitForEnd() {
  for (;;) {
    pollfd Poll = {Descriptor, POLLIN, 0};
    if (poll(&Poll, 1, WaitLimitMs) <= 0)
      return false;
    char Chunk[16384];
    if (recv(Descriptor, Chunk, sizeof(Chunk), 0) <= 0)
      return true;
  }
}

void RawConnection::reset() {
  linger Linger = {1, 0};
  setsockopt(Descriptor, SOL_SOCKET, SO_LINGER, &Linger, sizeof(Linger));
  close();
}

void RawConnection::close() {
  if (Descriptor >= 0)
    ::close(std::exchange(Descriptor, -1));
}

} // namespace quetzallead
