#include "relay/SocketOptions.h"
#include "absl/strings/str_cat.h"
#include "runtime/Logger.h"
#include <algorithm>
#include <netinet/tcp.h>

namespace quetzallead {

namespace asio = boost::asio;

static bool setIntOption(int Fd, int Level, int Option, int Value) {
  return setsockopt(Fd, Level, Option, &Value, sizeof(Value)) == 0;
}

void setSocketOptions(asio::ip::tcp::socket &Socket, Duration UnackedTimeout,
                      Duration KeepAliveInterval) {
  static bool Logged = false;
  const int Fd = Socket.native_handle();
  bool AllSet = setIntOption(Fd, IPPROTO_TCP, TCP_NODELAY, 1);
  const auto Millis =
      static_cast<int>(absl::ToInt64Milliseconds(UnackedTimeout));
  AllSet = setIntOption(Fd, IPPROTO_TCP, TCP_USER_TIMEOUT, Millis) && AllSet;
  if (KeepAliveInterval > absl::ZeroDuration()) {
    const int Seconds =
        std::max(1, static_cast<int>(absl::ToInt64Seconds(KeepAliveInterval)));
    AllSet = setIntOption(Fd, SOL_SOCKET, SO_KEEPALIVE, 1) && AllSet;
    AllSet = setIntOption(Fd, IPPROTO_TCP, TCP_KEEPIDLE, Seconds) && AllSet;
    AllSet = setIntOption(Fd, IPPROTO_TCP, TCP_KEEPINTVL, Seconds) && AllSet;
    AllSet = setIntOption(Fd, IPPROTO_TCP, TCP_KEEPCNT, 2) && AllSet;
  }
  if (AllSet || Logged)
    return;
  Logged = true;
  logEvent(LogLevel::Warning, "socket_options_refused",
           {{"effect", "unresponsive peers may be detected late"}});
}

void openWithReceiveBuffer(asio::ip::tcp::socket &Socket,
                           const asio::ip::tcp::endpoint &Peer, int Bytes) {
  boost::system::error_code Fault;
  Socket.open(Peer.protocol(), Fault);
  // A socket that could not be opened is opened once more by its connect.
  if (!Fault)
    setIntOption(Socket.native_handle(), SOL_SOCKET, SO_RCVBUF, Bytes);
}

void setReceiveBuffer(asio::ip::tcp::acceptor &Listener, int Bytes) {
  setIntOption(Listener.native_handle(), SOL_SOCKET, SO_RCVBUF, Bytes);
}

std::string peerAddress(const asio::ip::tcp::socket &Socket) {
  boost::system::error_code Fault;
  const auto Peer = Socket.remote_endpoint(Fault);
  return Fault ? std::string()
               : absl::StrCat(Peer.address().to_string(), ":", Peer.port());
}

Duration roundTripTime(asio::ip::tcp::socket &Socket) {
  tcp_info Info{};
  socklen_t Length = sizeof(Info);
  if (getsockopt(Socket.native_handle(), IPPROTO_TCP, TCP_INFO, &Info,
                 &Length) != 0)
    return absl::ZeroDuration();
  return absl::Microseconds(Info.tcpi_rtt);
}

} // namespace quetzallead
