#ifndef QUETZALLEAD_RELAY_CALLERSESSION_H
#define QUETZALLEAD_RELAY_CALLERSESSION_H

#include "absl/strings/string_view.h"
#include "core/relay/ClientLimits.h"
#include "relay/LoopTimers.h"
#include "relay/MemoryHold.h"
#include "relay/MessageParser.h"
#include "relay/RelayMessages.h"
#include "relay/RequestDefect.h"
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace quetzallead {

class CallerSession;
class MemoryGuard;
class PeerScope;

/// Callbacks of a caller's connection into the rest of the program.
struct CallerHandlers {
  /// Serves a request. respond() is called once for each, unless OnDisconnected
  /// comes first.
  std::function<void(const std::shared_ptr<CallerSession> &, HttpRequest)>
      OnRequest;
  /// The caller disconnected while its request was being served.
  std::function<void(CallerSession &)> OnDisconnected;
  std::function<void(CallerSession &)> OnClosed;
  std::function<ClientLimits()> Limits;
  /// True if connections are to be closed after their next response.
  std::function<bool()> ShouldClose;
  /// Handles a request that arrives while another is served, if it is a message
  /// that has no response; returns whether it is. May be empty.
  std::function<bool(CallerSession &, HttpRequest)> OnMessage;
  /// A request is refused, before its response is sent; may be empty.
  std::function<void(const std::string &Address, RequestDefect)> OnRefused;
  /// The account of what is held; may be null.
  MemoryGuard *Memory = nullptr;
};

/// A connection from a caller: reads requests and writes their responses in the
/// same order, one at a time. A read is pending unless too many bytes are
/// unparsed, so that a disconnect is detected while a request is being served.
/// Keeps itself alive while it is open.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
public:
  CallerSession(boost::asio::ip::tcp::socket Socket, LoopTimers &Timers,
                CallerHandlers &Handlers);

  void start();
  /// Writes the response to the request being served. \p KeepOpen must match
  /// the Connection header of the response.
  void respond(std::string Bytes, bool KeepOpen);
  /// Closes the connection if no request is being read or served.
  void closeIfIdle();
  void close();

  /// Whether the connection can stay open after the response.
  bool mayKeepOpen() const { return KeepAlive && !Handlers.ShouldClose(); }
  bool isHeadRequest() const { return HeadRequest; }
  /// Whether a request has been read and not been answered.
  bool serving() const { return Stage == SessionStage::Serving; }
  bool uses(const CallerHandlers &Given) const { return &Handlers == &Given; }
  /// Estimated time from the caller's decision to send the request being served
  /// to its arrival, and from the response to the caller. The first request on
  /// a connection also waits for its set-up.
  Duration transitTime() const {
    return RequestCount == 1 ? RoundTrip * 2 : RoundTrip;
  }
  /// Tells the peer that the request being served has been read and will be
  /// answered.
  void acknowledge();
  /// Sends a short informational (1xx) response to the request being served.
  void sendInformational(absl::string_view Bytes);
  /// Goes on to the next request: the one being served has no response.
  void skipResponse();
  /// Whether the peer has closed the connection, as far as can be read.
  bool closedByPeer();
  bool idle() const {
    return Stage == SessionStage::Reading && !Parser && Unparsed.empty();
  }

private:
  enum class SessionStage { Reading, Serving, Writing, Lingering, Closed };

  void read();
  /// Stops reading until resumeReading(); the connection stays alive.
  void pauseReading();
  void resumeReading();
  void onReadEnd();
  void onBytes(std::size_t Count);
  MessageLimits messageLimits() const;
  PeerScope peerScope() const;
  void parse();
  /// Hands the unparsed message, if it is complete, to OnMessage.
  void parseMessage();
  /// Reads the next request.
  void readNext();
  void reject(RequestDefect Defect, Duration RetryAfter = absl::ZeroDuration());
  /// Writes the rest of Outgoing.
  void writeOn();
  void updateHold();
  /// Ends what is being received or sent, since memory is short.
  void endForMemory();
  void onWritten();
  void linger();
  /// Closes the connection after \p Timeout, or rejects the request if it has
  /// begun.
  void startTimer(Duration Timeout, bool Begun);

  boost::asio::ip::tcp::socket Socket;
  LoopTimers &Timers;
  CallerHandlers &Handlers;
  SessionStage Stage = SessionStage::Reading;
  std::optional<RequestParser> Parser;
  std::string Unparsed;
  std::string Outgoing;
  /// Bytes of Outgoing that have been written.
  std::size_t Written = 0;
  bool KeepAlive = true;
  bool KeepOpenAfterWrite = true;
  bool HeadRequest = false;
  bool HeaderSeen = false;
  bool ReadPaused = false;
  /// A wait for an error of the socket is pending.
  bool WaitingForError = false;
  /// Requests read on this connection.
  std::uint64_t RequestCount = 0;
  Duration RoundTrip = absl::ZeroDuration();
  std::shared_ptr<LoopTimers::Subscription> Timer;
  MemoryHold Hold;
  std::array<char, 8192> Buffer;
};

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_CALLERSESSION_H
