#ifndef QUETZALLEAD_TESTS_SUPPORT_LIVESOCKETS_H
#define QUETZALLEAD_TESTS_SUPPORT_LIVESOCKETS_H

#include <arpa/inet.h>
#include <cstdint>
#include <cstdlib>
#include <dirent.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <vector>

namespace quetzallead {

/// A TCP connection of this process, as the kernel has it.
struct LiveSocket {
  int Fd = -1;
  std::uint16_t LocalPort = 0;
  std::uint16_t PeerPort = 0;
  bool KeepAlive = false;
  int KeepIdleSeconds = 0;
  int KeepIntervalSeconds = 0;
  /// TCP_USER_TIMEOUT; 0 if the system's defaults hold.
  int UserTimeoutMillis = 0;
};

inline int intOption(int Fd, int Level, int Option) {
  int Value = 0;
  socklen_t Length = sizeof(Value);
  return getsockopt(Fd, Level, Option, &Value, &Length) == 0 ? Value : 0;
}

/// The connected TCP sockets of this process.
inline std::vector<LiveSocket> liveSockets() {
  std::vector<LiveSocket> Out;
  DIR *Descriptors = opendir("/proc/self/fd");
  while (const dirent *Entry = readdir(Descriptors)) {
    LiveSocket S;
    S.Fd = std::atoi(Entry->d_name);
    sockaddr_in Local{};
    sockaddr_in Peer{};
    socklen_t LocalLength = sizeof(Local);
    socklen_t PeerLength = sizeof(Peer);
    if (getsockname(S.Fd, reinterpret_cast<sockaddr *>(&Local), &LocalLength) !=
            0 ||
        getpeername(S.Fd, reinterpret_cast<sockaddr *>(&Peer), &PeerLength) !=
            0 ||
        Local.sin_family != AF_INET)
      continue;
    S.LocalPort = ntohs(Local.sin_port);
    S.PeerPort = ntohs(Peer.sin_port);
    S.KeepAlive = intOption(S.Fd, SOL_SOCKET, SO_KEEPALIVE) != 0;
    S.KeepIdleSeconds = intOption(S.Fd, IPPROTO_TCP, TCP_KEEPIDLE);
    S.KeepIntervalSeconds = intOption(S.Fd, IPPROTO_TCP, TCP_KEEPINTVL);
    S.UserTimeoutMillis = intOption(S.Fd, IPPROTO_TCP, TCP_USER_TIMEOUT);
    Out.push_back(S);
  }
  closedir(Descriptors);
  return Out;
}

} // namespace quetzallead

#endif // QUETZALLEAD_TESTS_SUPPORT_LIVESOCKETS_H
