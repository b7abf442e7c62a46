#include "relay/CuttableServer.h"
#include <arpa/inet.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace quetzallead {

static constexpr int PollMillis = 5;
static constexpr int OpenBacklog = 128;
/// Connections that a queue of length 0 holds, and some more.
static constexpr int FillerCount = 4;

static sockaddr_in loopback(std::uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return Address;
}

CuttableServer::CuttableServer() {
  listen();
  Thread = std::thread([this] { run(); });
}

CuttableServer::~CuttableServer() {
  Stopped = true;
  Thread.join();
  closeListener();
  closeAll(Connections, false);
}

std::string CuttableServer::address() const {
  return "127.0.0.1:" + std::to_string(Port);
}

void CuttableServer::listen() {
  Listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  const int On = 1;
  setsockopt(Listener, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  sockaddr_in Address = loopback(Port);
  socklen_t Length = sizeof(Address);
  auto *Generic = reinterpret_cast<sockaddr *>(&Address);
  if (bind(Listener, Generic, Length) != 0 ||
      ::listen(Listener, OpenBacklog) != 0 ||
      getsockname(Listener, Generic, &Length) != 0)
    throw std::runtime_error("the stand-in cannot listen");
  Port = ntohs(Address.sin_port);
}

void CuttableServer::fillQueue() {
  ::listen(Listener, 0);
  for (int I = 0; I < FillerCount; ++I) {
    const int Filler = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    const sockaddr_in Address = loopback(Port);
    // The attempts that the queue does not hold go on in the background.
    static_cast<void>(connect(
        Filler, reinterpret_cast<const sockaddr *>(&Address), sizeof(Address)));
    Fillers[Filler];
  }
}

void CuttableServer::closeListener() {
  closeAll(Fillers, true);
  if (Listener != -1)
    close(Listener);
  Listener = -1;
}

void CuttableServer::closeAll(std::map<int, std::string> &Open, bool Abort) {
  const linger Reset{Abort ? 1 : 0, 0};
  for (const auto &[Socket, Received] : Open) {
    setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Reset, sizeof(Reset));
    close(Socket);
  }
  Open.clear();
}

void CuttableServer::apply(NetworkCut Cut) {
  Current = Cut;
  switch (Cut) {
  case NetworkCut::None:
    closeListener();
    // What was sent during the cut is lost with its connection.
    closeAll(Connections, true);
    listen();
    return;
  case NetworkCut::Silent:
    fillQueue();
    return;
  case NetworkCut::Reset:
    closeListener();
    closeAll(Connections, true);
    return;
  case NetworkCut::Refuse:
    closeListener();
    return;
  }
}

void CuttableServer::acceptOne() {
  const int Connection = accept4(Listener, nullptr, nullptr, SOCK_NONBLOCK);
  if (Connection != -1)
    Connections[Connection];
}

bool CuttableServer::serve(int Connection, std::string &Received) {
  char Buffer[4096];
  const ssize_t Count = recv(Connection, Buffer, sizeof(Buffer), 0);
  if (Count <= 0)
    return false;
  Received.append(Buffer, static_cast<std::size_t>(Count));
  for (std::size_t End = 0;
       (End = Received.find("\r\n\r\n")) != std::string::npos;) {
    const std::string Path = Received.substr(4, Received.find(' ', 4) - 4);
    Received.erase(0, End + 4);
    ++Requests;
    const std::string Answer =
        "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\n" +
        std::string(ClosesConnections ? "Connection: close\r\n" : "") +
        "Content-Length: " + std::to_string(Path.size()) + "\r\n\r\n" + Path;
    if (send(Connection, Answer.data(), Answer.size(), MSG_NOSIGNAL) < 0 ||
        ClosesConnections)
      return false;
  }
  return true;
}

void CuttableServer::run() {
  while (!Stopped) {
    if (Wanted != Current)
      apply(Wanted);
    std::vector<pollfd> Polled;
    if (Current != NetworkCut::Silent) {
      if (Listener != -1)
        Polled.push_back(pollfd{Listener, POLLIN, 0});
      for (const auto &[Connection, Received] : Connections)
        Polled.push_back(pollfd{Connection, POLLIN, 0});
    }
    poll(Polled.data(), Polled.size(), PollMillis);
    for (const pollfd &Ready : Polled) {
      if (Ready.revents == 0)
        continue;
      if (Ready.fd == Listener) {
        acceptOne();
      } else if (!serve(Ready.fd, Connections[Ready.fd])) {
        close(Ready.fd);
        Connections.erase(Ready.fd);
      }
    }
  }
}

} // namespace quetzallead
