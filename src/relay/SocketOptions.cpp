#include "relay/SocketOptions.h"
#include "runtime/Logger.h"
#include <algorithm>
#include <netinet/tcp.h>

namespace quetzallead {

namespace asio = boost::asio;

static bool setNumber(int Handle, int Level, int Name, int Value) {
  return setsockopt(Handle, Level, Name, &Value, sizeof(Value)) == 0;
}

void setSocketOptions(asio::ip::tcp::socket &Socket, Duration Unconfirmed,
                      Duration Probe) {
  static bool Reported = false;
  const int Handle = Socket.native_handle();
  bool Fine = setNumber(Handle, IPPROTO_TCP, TCP_NODELAY, 1);
  const auto Millis = static_cast<int>(absl::ToInt64Milliseconds(Unconfirmed));
  Fine = setNumber(Handle, IPPROTO_TCP, TCP_USER_TIMEOUT, Millis) && Fine;
  if (Probe > absl::ZeroDuration()) {
    const int Seconds =
        std::max(1, static_cast<int>(absl::ToInt64Seconds(Probe)));
    Fine = setNumber(Handle, SOL_SOCKET, SO_KEEPALIVE, 1) && Fine;
    Fine = setNumber(Handle, IPPROTO_TCP, TCP_KEEPIDLE, Seconds) && Fine;
    Fine = setNumber(Handle, IPPROTO_TCP, TCP_KEEPINTVL, Seconds) && Fine;
    Fine = setNumber(Handle, IPPROTO_TCP, TCP_KEEPCNT, 2) && Fine;
  }
  if (Fine || Reported)
    return;
  Reported = true;
  logEvent(LogLevel::Warning, "socket_options_refused",
           {{"effect", "silent connections may be noticed late"}});
}

} // namespace quetzallead
