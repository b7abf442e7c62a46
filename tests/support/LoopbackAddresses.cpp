#include "support/LoopbackAddresses.h"
#include "absl/strings/str_cat.h"
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace quetzallead {

static constexpr int FirstPort = 20000;

static bool canBind(const std::string &Ip, int Port) {
  const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int On = 1;
  setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  sockaddr_in Address = {};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
  const int Failed = bind(Socket, reinterpret_cast<const sockaddr *>(&Address),
                          sizeof(Address));
  close(Socket);
  return Failed == 0;
}

LoopbackAddresses::LoopbackAddresses() : NextPort(FirstPort) {
  const auto Id = static_cast<unsigned>(getpid());
  // The last number stays within 1 to 254 and the first above 0, away from
  // 127.0.0.1.
  Ip = absl::StrCat("127.", 1 + Id / (254 * 256) % 254, ".", Id / 254 % 256,
                    ".", 1 + Id % 254);
}

std::string LoopbackAddresses::next() {
  while (!canBind(Ip, NextPort))
    ++NextPort;
  return absl::StrCat(Ip, ":", NextPort++);
}

} // namespace quetzallead
