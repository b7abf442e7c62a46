#ifndef QUETZALLEAD_RELAY_HTTPCONNECTION_H
#define QUETZALLEAD_RELAY_HTTPCONNECTION_H

#include "absl/strings/string_view.h"
#include "relay/HttpExchange.h"
#include "relay/LoopTimers.h"
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <memory>
#include <optional>
#include <string>

namespace quetzallead {

/// Time limits of an outgoing connection.
struct HttpConnectionLimits {
  /// Until a new connection is set up.
  Duration ConnectTime = absl::Milliseconds(400);
  /// Sent bytes that the other side does not confirm end the connection after
  /// this.
  Duration UnconfirmedTime = absl::Seconds(2);
  /// A silent connection is probed after this, again after the same, and is
  /// ended when two probes go unanswered.
  Duration ProbeTime = absl::Seconds(1);
  std::size_t HeaderBytes = std::size_t{64} << 10;
  std::uint64_t BodyBytes = std::uint64_t{64} << 20;
};

/// A client's connection to an HTTP/1.1 server that carries one exchange after
/// another. Nothing is ever sent twice. A read is always pending, so that the
/// other side's close, and bytes that belong to no exchange, are seen at once;
/// both end the connection. Keeps itself alive while it is open.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
public:
  HttpConnection(boost::asio::io_context &Loop, LoopTimers &Timers,
                 std::string Address, HttpConnectionLimits Limits);

  /// Sets the connection up; a failure is seen by open() and onClosed.
  void connect();
  /// Sends a request, after the set-up if that is still going on. The
  /// connection must be free.
  void exchange(HttpExchange Request, HttpExchangeDone Done);
  /// Ends the connection; an exchange ends as Cancelled.
  void close();

  bool open() const { return Stage != ConnectionStage::Closed; }
  bool busy() const { return Done != nullptr; }
  /// True once the set-up is complete.
  bool ready() const { return Stage == ConnectionStage::Open; }
  TimePoint idleSince() const { return IdleSince; }
  /// The other side keeps the connection until then.
  TimePoint keptUntil() const { return KeptUntil; }
  /// Called once when the connection has ended, with whether it was ever set
  /// up.
  std::function<void(bool WasConnected)> OnClosed;
  /// Called when the set-up is complete and no exchange waits.
  std::function<void()> OnReady;

private:
  enum class ConnectionStage { New, Connecting, Open, Closed };
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  void onConnected(const boost::system::error_code &Fault);
  void write();
  /// Makes the parser of the next answer.
  void expectAnswer();
  void read();
  void onBytes(std::size_t Count);
  void onReadEnd(bool Clean);
  /// Feeds \p Bytes to the parser; ends the exchange when it is complete.
  void parse(absl::string_view Bytes);
  void complete(bool Reusable);
  void fail(AttemptResult Result);
  void setOptions();

  boost::asio::io_context &Loop;
  LoopTimers &Timers;
  boost::asio::ip::tcp::socket Socket;
  std::string Address;
  HttpConnectionLimits Limits;
  ConnectionStage Stage = ConnectionStage::New;
  HttpExchange Current;
  HttpExchangeDone Done;
  bool WasConnected = false;
  /// Set while the bytes of Current are being written.
  bool Writing = false;
  bool AnySent = false;
  std::optional<Parser> Answer;
  std::string Unparsed;
  std::shared_ptr<LoopTimers::Subscription> Timer;
  TimePoint IdleSince = absl::InfinitePast();
  TimePoint KeptUntil = absl::InfiniteFuture();
  std::array<char, 16384> Buffer;
};

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_HTTPCONNECTION_H
