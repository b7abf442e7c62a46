#ifndef QUETZALLEAD_RELAY_HTTPCONNECTION_H
#define QUETZALLEAD_RELAY_HTTPCONNECTION_H

#include "absl/strings/string_view.h"
#include "core/http/ResponseHead.h"
#include "relay/HttpExchange.h"
#include "relay/LoopTimers.h"
#include "relay/MemoryHold.h"
#include "relay/MessageParser.h"
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <optional>
#include <string>

namespace quetzallead {

class MemoryGuard;

/// Time and size limits of an outgoing connection.
struct HttpConnectionLimits {
  /// Time limit for establishing the connection.
  Duration ConnectTimeout = absl::Milliseconds(400);
  /// The connection is closed when sent data stays unacknowledged this long.
  Duration UnackedTimeout = absl::Seconds(2);
  /// Idle time before the first TCP keep-alive probe, and the interval between
  /// probes. The connection is closed at the first probe that is due
  /// UnackedTimeout after the peer was heard from.
  Duration KeepAliveInterval = absl::Seconds(1);
  std::size_t HeaderBytes = std::size_t{64} << 10;
  std::uint64_t BodyBytes = std::uint64_t{64} << 20;
  /// The account of what is held; may be null.
  MemoryGuard *Memory = nullptr;
  /// What responses are held for.
  MemoryUse Use = MemoryUse::Answer;
};

/// How a connection has ended.
enum class ConnectionEnd {
  NotEstablished,
  Closed, ///< By either end, or reset.
  Silent, ///< The peer acknowledged nothing any more.
};

/// A client connection to an HTTP/1.1 server that carries one exchange at a
/// time. Requests are never resent. A read is always pending, so that a close
/// by the peer and bytes that belong to no exchange are detected at once; both
/// close the connection. Keeps itself alive while it is open.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
public:
  HttpConnection(boost::asio::io_context &Loop, LoopTimers &Timers,
                 std::string Address, HttpConnectionLimits Limits);

  /// Starts connecting; a failure is reported through open() and OnClosed.
  void connect();
  /// Sends a request, connecting first if necessary. No other exchange may be
  /// in progress.
  void exchange(HttpExchange Request, HttpExchangeCallback Done);
  /// Sends a message that has no response of its own, while an exchange is in
  /// progress. Closes the connection if it cannot be sent at once.
  void sendMessage(absl::string_view Bytes);
  /// Keeps nothing more of the response to the current exchange but its head,
  /// and closes the connection if that is long.
  void discardResponse();
  /// Closes the connection; an exchange in progress ends as Cancelled.
  void close();

  bool open() const { return Stage != ConnectionStage::Closed; }
  bool busy() const { return Done != nullptr; }
  /// True while the connection is established.
  bool ready() const { return Stage == ConnectionStage::Open; }
  TimePoint idleSince() const { return IdleSince; }
  /// When the peer closes the connection if it stays idle; infinite if unknown.
  TimePoint idleExpiry() const { return IdleExpiry; }
  /// Called once when the connection has closed.
  std::function<void(ConnectionEnd)> OnClosed;
  /// Called when the connection is established and no exchange is queued.
  std::function<void()> OnReady;

private:
  enum class ConnectionStage { New, Connecting, Open, Closed };

  void onConnected(const boost::system::error_code &EC);
  void write();
  /// Prepares for the next response.
  void resetParser();
  void read();
  void onBytes(std::size_t Count);
  void onReadEnd(const boost::system::error_code &EC);
  /// Parses \p Bytes; completes the exchange with the final response.
  void parse(absl::string_view Bytes);
  /// Parses what belongs to one response from \p Offset on, and moves it.
  ResponseDefect parseResponse(absl::string_view Bytes, std::size_t &Offset);
  /// Parses as much of a head as \p Bytes begin with.
  ResponseDefect parseHead(absl::string_view Bytes, std::size_t &Consumed);
  /// Called when the head of a response is complete and sound.
  void onHead();
  /// Reports an interim response; returns whether the next response is still
  /// awaited.
  bool passInterim();
  /// Drops the body in the parser, which nobody needs.
  void discardBody();
  /// Ends the response that is being received, since memory is short.
  void endResponse();
  void updateHold();
  /// Frees the bytes of the request, which have been sent.
  void dropRequest();
  void complete(bool Reusable);
  /// Ends the exchange, since what was received is no response to it.
  void refuse(ResponseDefect Defect);
  void fail(AttemptResult Result, ResponseDefect Defect = ResponseDefect::None);
  void setOptions();

  boost::asio::io_context &Loop;
  LoopTimers &Timers;
  boost::asio::ip::tcp::socket Socket;
  std::string Address;
  HttpConnectionLimits Limits;
  ConnectionStage Stage = ConnectionStage::New;
  HttpExchange Current;
  HttpExchangeCallback Done;
  ConnectionEnd End = ConnectionEnd::NotEstablished;
  std::uint64_t ExchangeCount = 0;
  /// True while the bytes of Current are being written.
  bool Writing = false;
  bool AnyBytesSent = false;
  /// The head of the current response, and the bytes of its complete lines.
  ResponseHead Head;
  std::size_t HeadBytes = 0;
  /// The fields of the head of a response in chunks: the parser adds those of
  /// the trailer to them.
  std::optional<HttpResponseHead> HeadFields;
  /// Bytes of the interim responses to the current exchange.
  std::size_t InterimBytes = 0;
  bool Discarding = false;
  /// Bytes of the body that have been discarded.
  std::size_t DiscardedBytes = 0;
  bool ReadPaused = false;
  std::optional<ResponseParser> Parser;
  std::string Unparsed;
  std::shared_ptr<LoopTimers::Subscription> Timer;
  TimePoint IdleSince = absl::InfinitePast();
  TimePoint IdleExpiry = absl::InfiniteFuture();
  MemoryHold Hold;
  std::array<char, 16384> Buffer;
};

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_HTTPCONNECTION_H
