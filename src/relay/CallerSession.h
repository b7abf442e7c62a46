#ifndef QUETZALLEAD_RELAY_CALLERSESSION_H
#define QUETZALLEAD_RELAY_CALLERSESSION_H

#include "absl/strings/string_view.h"
#include "core/relay/ClientLimits.h"
#include "relay/LoopTimers.h"
#include "relay/RelayMessages.h"
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace quetzallead {

class CallerSession;

/// What a caller's connection needs from the rest of the program.
struct CallerHandlers {
  /// Serves a request; answer() is called once for each, unless left() came.
  std::function<void(const std::shared_ptr<CallerSession> &, HttpRequest)>
      OnRequest;
  /// The caller has closed while its request was being served.
  std::function<void(CallerSession &)> OnLeft;
  std::function<void(CallerSession &)> OnClosed;
  std::function<ClientLimits()> Limits;
  /// True if connections are to be closed behind their next answer.
  std::function<bool()> Closing;
};

/// One connection of a caller: reads requests, one after the other, and writes
/// their answers in the same order. A read is always pending, so that a caller
/// that leaves is seen while its request is served. Keeps itself alive while
/// it is open.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
public:
  CallerSession(boost::asio::ip::tcp::socket Socket, LoopTimers &Timers,
                CallerHandlers &Handlers);

  void start();
  /// Writes the answer to the request that is being served. \p KeepOpen must
  /// be what the answer says of the connection.
  void answer(std::string Bytes, bool KeepOpen);
  /// Closes the connection if no request is being read or served.
  void closeIfIdle();
  void close();

  /// Whether the connection can stay open behind the answer.
  bool mayKeepOpen() const { return KeepAlive && !Handlers.Closing(); }
  bool headRequest() const { return HeadRequest; }
  bool serving() const { return Stage == SessionStage::Serving; }
  bool idle() const {
    return Stage == SessionStage::Reading && !Request && Unread.empty();
  }

private:
  enum class SessionStage { Reading, Serving, Writing, Lingering, Closed };
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  void read();
  void onReadEnd();
  void parse();
  void refuse(unsigned Status);
  void onWritten();
  void linger();
  void arm(Duration Time, unsigned Status);

  boost::asio::ip::tcp::socket Socket;
  LoopTimers &Timers;
  CallerHandlers &Handlers;
  SessionStage Stage = SessionStage::Reading;
  std::optional<Parser> Request;
  std::string Unread;
  std::string Outgoing;
  bool KeepAlive = true;
  bool KeepAfterWrite = true;
  bool HeadRequest = false;
  bool HeaderSeen = false;
  bool ReadPaused = false;
  std::shared_ptr<LoopTimers::Subscription> Timer;
  std::array<char, 8192> Buffer;
};

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_CALLERSESSION_H
