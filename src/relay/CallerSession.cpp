#include "relay/CallerSession.h"
#include "absl/strings/match.h"
#include "relay/SocketOptions.h"
#include <boost/asio/write.hpp>

namespace quetzallead {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

/// Bytes of later requests that are kept while one is served.
static constexpr std::size_t MostUnread = std::size_t{64} << 10;
/// An answer that the caller does not confirm ends its connection after this;
/// longer than any caller waits for an answer.
static constexpr Duration UnconfirmedTime = absl::Seconds(10);
/// A silent caller is probed, since its machine may be gone.
static constexpr Duration ProbeTime = absl::Seconds(10);
/// How long a closed connection is still read, so that the caller gets the
/// last answer rather than a reset.
static constexpr Duration LingerTime = absl::Seconds(1);

CallerSession::CallerSession(asio::ip::tcp::socket GivenSocket,
                             LoopTimers &GivenTimers,
                             CallerHandlers &GivenHandlers)
    : Socket(std::move(GivenSocket)), Timers(GivenTimers),
      Handlers(GivenHandlers) {}

void CallerSession::start() {
  setSocketOptions(Socket, UnconfirmedTime, ProbeTime);
  arm(Handlers.Limits().IdleTime, 0);
  read();
}

void CallerSession::arm(Duration Time, unsigned Status) {
  Timer = Timers.at(LoopTimers::now() + Time, [this, Status](TimePoint) {
    auto Hold = shared_from_this();
    if (Status == 0)
      close();
    else
      refuse(Status);
  });
}

void CallerSession::read() {
  auto Self = shared_from_this();
  Socket.async_read_some(
      asio::buffer(Buffer), [Self](const error_code &Fault, std::size_t Count) {
        if (Self->Stage == SessionStage::Closed)
          return;
        if (Fault) {
          Self->onReadEnd();
          return;
        }
        if (Self->Stage == SessionStage::Lingering) {
          Self->read();
          return;
        }
        Self->Unread.append(Self->Buffer.data(), Count);
        if (Self->Stage == SessionStage::Reading)
          Self->parse();
        if (Self->Stage == SessionStage::Closed)
          return;
        // A caller that sends on and on while it waits is read later.
        Self->ReadPaused = Self->Unread.size() > MostUnread &&
                           Self->Stage != SessionStage::Lingering;
        if (!Self->ReadPaused)
          Self->read();
      });
}

void CallerSession::onReadEnd() {
  const bool WasServing = Stage == SessionStage::Serving;
  if (WasServing)
    Handlers.OnLeft(*this);
  close();
}

void CallerSession::parse() {
  const ClientLimits Limits = Handlers.Limits();
  if (Unread.empty())
    return;
  if (!Request) {
    Request.emplace();
    Request->eager(true);
    Request->header_limit(static_cast<std::uint32_t>(Limits.HeaderBytes));
    Request->body_limit(Limits.BodyBytes);
    HeaderSeen = false;
    arm(Limits.HeaderTime, 408);
  }
  error_code Fault;
  std::size_t Used = 0;
  while (Used < Unread.size() && !Request->is_done()) {
    const std::size_t Step = Request->put(
        asio::buffer(Unread.data() + Used, Unread.size() - Used), Fault);
    Used += Step;
    if (Fault == http::error::need_more || (!Fault && Step == 0))
      break;
    if (Fault) {
      if (Fault == http::error::header_limit)
        refuse(431);
      else if (Fault == http::error::body_limit)
        refuse(413);
      else
        refuse(400);
      return;
    }
  }
  Unread.erase(0, Used);
  if (!Request->is_header_done() && Unread.size() > Limits.HeaderBytes) {
    refuse(431);
    return;
  }
  if (Request->is_header_done() && !Request->is_done()) {
    arm(Limits.IdleTime, 408);
    const auto Expect = Request->get()[http::field::expect];
    if (!HeaderSeen &&
        absl::EqualsIgnoreCase(absl::string_view(Expect.data(), Expect.size()),
                               "100-continue")) {
      static const std::string Continue = "HTTP/1.1 100 Continue\r\n\r\n";
      // The caller waits for these few bytes; they always fit.
      Socket.write_some(asio::buffer(Continue), Fault);
    }
    HeaderSeen = true;
  }
  if (!Request->is_done())
    return;
  Timer.reset();
  KeepAlive = Request->keep_alive();
  HttpRequest Whole = Request->release();
  Request.reset();
  HeadRequest = Whole.method() == http::verb::head;
  Stage = SessionStage::Serving;
  Handlers.OnRequest(shared_from_this(), std::move(Whole));
}

void CallerSession::refuse(unsigned Status) {
  Stage = SessionStage::Serving;
  Request.reset();
  Unread.clear();
  answer(encodeOwnAnswer(Status, absl::ZeroDuration(), false), false);
}

void CallerSession::answer(std::string Bytes, bool KeepOpen) {
  if (Stage != SessionStage::Serving)
    return;
  Stage = SessionStage::Writing;
  KeepAfterWrite = KeepOpen;
  Outgoing = std::move(Bytes);
  auto Self = shared_from_this();
  error_code Fault;
  Socket.non_blocking(true, Fault);
  // Most answers fit into the socket at once.
  const std::size_t Sent = Socket.write_some(asio::buffer(Outgoing), Fault);
  if (Fault && Fault != asio::error::would_block) {
    close();
    return;
  }
  if (Sent == Outgoing.size()) {
    onWritten();
    return;
  }
  asio::async_write(Socket, asio::buffer(Outgoing) + Sent,
                    [Self](const error_code &WriteFault, std::size_t) {
                      if (Self->Stage == SessionStage::Closed)
                        return;
                      if (WriteFault)
                        Self->close();
                      else
                        Self->onWritten();
                    });
}

void CallerSession::onWritten() {
  if (!KeepAfterWrite) {
    linger();
    return;
  }
  Stage = SessionStage::Reading;
  arm(Handlers.Limits().IdleTime, 0);
  if (ReadPaused) {
    ReadPaused = false;
    read();
  }
  if (!Unread.empty())
    asio::post(Socket.get_executor(), [Self = shared_from_this()] {
      if (Self->Stage == SessionStage::Reading)
        Self->parse();
    });
}

void CallerSession::linger() {
  Stage = SessionStage::Lingering;
  error_code Fault;
  Socket.shutdown(asio::ip::tcp::socket::shutdown_send, Fault);
  if (Fault) {
    close();
    return;
  }
  if (ReadPaused) {
    ReadPaused = false;
    read();
  }
  arm(LingerTime, 0);
}

void CallerSession::closeIfIdle() {
  if (idle())
    linger();
}

void CallerSession::close() {
  if (Stage == SessionStage::Closed)
    return;
  auto Hold = shared_from_this();
  Stage = SessionStage::Closed;
  Timer.reset();
  error_code Ignored;
  // Nothing can be done about a failing close.
  Socket.close(Ignored);
  Handlers.OnClosed(*this);
}

} // namespace quetzallead
