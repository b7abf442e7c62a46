#include "transport/net/ListenSocket.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"
#include <arpa/inet.h>
#include <cerrno>
#include <cstdint>
#include <cstring>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace quetzallead {
namespace {

/// Connections that may wait to be accepted.
constexpr int ListenBacklog = 1024;
constexpr unsigned MaxPort = 65535;

struct SocketAddress {
  sockaddr_storage Storage = {};
  socklen_t Length = 0;
};

bool parseIpv4(const std::string &Host, unsigned Port, SocketAddress &Out) {
  auto *In = reinterpret_cast<sockaddr_in *>(&Out.Storage);
  if (inet_pton(AF_INET, Host.c_str(), &In->sin_addr) != 1)
    return false;
  In->sin_family = AF_INET;
  In->sin_port = htons(static_cast<std::uint16_t>(Port));
  Out.Length = sizeof(sockaddr_in);
  return true;
}

bool parseIpv6(const std::string &Host, unsigned Port, SocketAddress &Out) {
  absl::string_view Bare = Host;
  if (!absl::ConsumePrefix(&Bare, "[") || !absl::ConsumeSuffix(&Bare, "]"))
    return false;
  auto *In = reinterpret_cast<sockaddr_in6 *>(&Out.Storage);
  if (inet_pton(AF_INET6, std::string(Bare).c_str(), &In->sin6_addr) != 1)
    return false;
  In->sin6_family = AF_INET6;
  In->sin6_port = htons(static_cast<std::uint16_t>(Port));
  Out.Length = sizeof(sockaddr_in6);
  return true;
}

Result<SocketAddress> parseSocketAddress(absl::string_view Text) {
  std::size_t Colon = Text.rfind(':');
  unsigned Port = 0;
  SocketAddress Out;
  if (Colon != absl::string_view::npos &&
      absl::SimpleAtoi(Text.substr(Colon + 1), &Port) && Port <= MaxPort) {
    std::string Host(Text.substr(0, Colon));
    if (parseIpv4(Host, Port, Out) || parseIpv6(Host, Port, Out))
      return Out;
  }
  return fail(ErrorCode::InvalidArgument,
              "an address must be ip:port or [ipv6]:port", std::string(Text));
}

bool bindAndListen(int Descriptor, const SocketAddress &Address) {
  int On = 1;
  setsockopt(Descriptor, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  const auto *Raw = reinterpret_cast<const sockaddr *>(&Address.Storage);
  if (bind(Descriptor, Raw, Address.Length) != 0)
    return false;
  return listen(Descriptor, ListenBacklog) == 0;
}

} // namespace

Result<int> openListenSocket(absl::string_view Address) {
  BOOST_LEAF_AUTO(Parsed, parseSocketAddress(Address));
  int Descriptor = socket(Parsed.Storage.ss_family,
                          SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Descriptor >= 0 && bindAndListen(Descriptor, Parsed))
    return Descriptor;
  std::string Reason = std::strerror(errno);
  if (Descriptor >= 0)
    close(Descriptor);
  return fail(ErrorCode::Unavailable, absl::StrCat("cannot listen: ", Reason),
              std::string(Address));
}

int boundPort(int Descriptor) {
  sockaddr_storage Storage = {};
  socklen_t Length = sizeof(Storage);
  if (getsockname(Descriptor, reinterpret_cast<sockaddr *>(&Storage),
                  &Length) != 0)
    return 0;
  if (Storage.ss_family == AF_INET)
    return ntohs(reinterpret_cast<sockaddr_in *>(&Storage)->sin_port);
  if (Storage.ss_family == AF_INET6)
    return ntohs(reinterpret_cast<sockaddr_in6 *>(&Storage)->sin6_port);
  return 0;
}

} // namespace quetzallead
