#include "relay/CallerSession.h"
#include "absl/strings/match.h"
#include "relay/MemoryGuard.h"
#include "relay/SocketOptions.h"
#include "runtime/PeerScope.h"
#include <algorithm>
#include <boost/asio/write.hpp>

namespace quetzallead {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

/// Reading pauses when more bytes than this await parsing while a request is
/// served.
static constexpr std::size_t MaxUnparsedBytes = std::size_t{64} << 10;
/// Bytes of a chunk's framing besides its extension and the fields of a
/// trailer.
static constexpr std::size_t MaxChunkFramingBytes = 64;
/// The connection is closed when response data stays unacknowledged this long;
/// longer than the timeout of any caller.
static constexpr Duration UnackedTimeout = absl::Seconds(10);
/// Interval of TCP keep-alive probes, which detect that the caller's machine is
/// down.
static constexpr Duration KeepAliveInterval = absl::Seconds(10);
/// How long a connection is read after its send side is shut down, so that the
/// caller receives the last response rather than a reset.
static constexpr Duration LingerTimeout = absl::Seconds(1);
/// Retry-After of a request that was not read to its end for lack of memory.
static constexpr Duration MemoryRetryAfter = absl::Milliseconds(500);

CallerSession::CallerSession(asio::ip::tcp::socket GivenSocket,
                             LoopTimers &GivenTimers,
                             CallerHandlers &GivenHandlers)
    : Socket(std::move(GivenSocket)), Timers(GivenTimers),
      Handlers(GivenHandlers), Hold(Handlers.Memory, MemoryUse::CallerBody) {
  updateHold();
}

void CallerSession::start() {
  setSocketOptions(Socket, UnackedTimeout, KeepAliveInterval);
  RoundTrip = roundTripTime(Socket);
  startTimer(Handlers.Limits().IdleTimeout, false);
  // Both are called while this object is open, and so alive.
  Hold.OnEnd = [this] { endForMemory(); };
  Hold.OnResume = [this] {
    if (Stage == SessionStage::Reading)
      resumeReading();
  };
  read();
}

void CallerSession::updateHold() {
  std::size_t Bytes = sizeof(*this) + Unparsed.capacity() + Outgoing.capacity();
  if (Parser)
    Bytes += Parser->message().body().size();
  switch (Stage) {
  case SessionStage::Reading:
    Hold.setUse(MemoryUse::CallerBody);
    break;
  case SessionStage::Writing:
    Hold.setUse(MemoryUse::UnreadResponse);
    break;
  case SessionStage::Serving:
  case SessionStage::Lingering:
  case SessionStage::Closed:
    Hold.setUse(MemoryUse::Request);
    break;
  }
  Hold.resize(Bytes);
}

void CallerSession::endForMemory() {
  auto Guard = shared_from_this();
  if (Stage == SessionStage::Reading)
    reject(RequestDefect::NoMemory, MemoryRetryAfter);
  else if (Stage == SessionStage::Writing)
    close();
}

void CallerSession::startTimer(Duration Timeout, bool Begun) {
  Timer = Timers.at(LoopTimers::now() + Timeout, [this, Begun](TimePoint) {
    auto Guard = shared_from_this();
    if (Begun)
      reject(RequestDefect::Incomplete);
    else
      close();
  });
}

void CallerSession::read() {
  auto Self = shared_from_this();
  Socket.async_read_some(asio::buffer(Buffer),
                         [Self](const error_code &EC, std::size_t Count) {
                           if (Self->Stage == SessionStage::Closed)
                             return;
                           if (EC)
                             Self->onReadEnd();
                           else
                             Self->onBytes(Count);
                         });
}

void CallerSession::onBytes(std::size_t Count) {
  if (Stage == SessionStage::Lingering) {
    read();
    return;
  }
  Hold.noteProgress(LoopTimers::now());
  Unparsed.append(Buffer.data(), Count);
  if (Stage == SessionStage::Reading)
    parse();
  else if (Handlers.OnMessage)
    parseMessage();
  if (Stage == SessionStage::Closed)
    return;
  updateHold();
  // Stops reading from a caller that keeps sending while it is served. What is
  // unparsed of a request that is being read has limits of its own.
  const bool SendsTooMuch = Unparsed.size() > MaxUnparsedBytes &&
                            Stage != SessionStage::Reading &&
                            Stage != SessionStage::Lingering;
  const bool WaitsForMemory = Stage == SessionStage::Reading && !Hold.mayRead();
  if (!SendsTooMuch && !WaitsForMemory) {
    read();
    return;
  }
  pauseReading();
  if (WaitsForMemory)
    Hold.pause();
}

void CallerSession::pauseReading() {
  ReadPaused = true;
  if (WaitingForError)
    return;
  WaitingForError = true;
  // No read is pending that would keep this object alive or notice a reset.
  Socket.async_wait(asio::ip::tcp::socket::wait_error,
                    [Self = shared_from_this()](const error_code &EC) {
                      Self->WaitingForError = false;
                      if (!EC && Self->ReadPaused &&
                          Self->Stage != SessionStage::Closed)
                        Self->onReadEnd();
                    });
}

void CallerSession::resumeReading() {
  if (!ReadPaused)
    return;
  ReadPaused = false;
  read();
}

void CallerSession::onReadEnd() {
  const bool WasServing = Stage == SessionStage::Serving;
  if (WasServing)
    Handlers.OnDisconnected(*this);
  close();
}

MessageLimits CallerSession::messageLimits() const {
  const ClientLimits Limits = Handlers.Limits();
  MessageLimits Out{Limits.MaxHeaderBytes, Limits.MaxBodyBytes};
  // A body that can never be held need not be read.
  if (Handlers.Memory != nullptr)
    Out.BodyBytes =
        std::min<std::uint64_t>(Out.BodyBytes, Handlers.Memory->limit());
  return Out;
}

/// What the parser refuses.
static RequestDefect defectOf(const error_code &EC) {
  if (EC == http::error::header_limit)
    return RequestDefect::HeadTooLarge;
  return EC == http::error::body_limit ? RequestDefect::BodyTooLarge
                                       : RequestDefect::Malformed;
}

PeerScope CallerSession::peerScope() const {
  return PeerScope(
      "reading requests",
      [](const void *Peer) {
        return peerAddress(static_cast<const CallerSession *>(Peer)->Socket);
      },
      this);
}

void CallerSession::parse() {
  const PeerScope Scope = peerScope();
  const ClientLimits Limits = Handlers.Limits();
  if (Unparsed.empty())
    return;
  if (!Parser) {
    Parser.emplace(messageLimits());
    HeaderSeen = false;
    startTimer(Limits.HeaderTimeout, true);
  }
  error_code EC;
  const std::size_t Parsed = Parser->parse(Unparsed, EC);
  if (EC) {
    reject(defectOf(EC));
    return;
  }
  Unparsed.erase(0, Parsed);
  // Once the head is done, only an extension or a trailer can be unparsed.
  const std::size_t Framing =
      Parser->is_header_done() ? MaxChunkFramingBytes : 0;
  if (!Parser->is_done() && Unparsed.size() > Framing &&
      Unparsed.size() - Framing > Limits.MaxHeaderBytes) {
    reject(RequestDefect::HeadTooLarge);
    return;
  }
  if (Parser->is_header_done() && !Parser->is_done()) {
    startTimer(Limits.IdleTimeout, true);
    const auto Expect = Parser->message()[http::field::expect];
    if (!HeaderSeen &&
        absl::EqualsIgnoreCase(absl::string_view(Expect.data(), Expect.size()),
                               "100-continue")) {
      static const std::string Continue = "HTTP/1.1 100 Continue\r\n\r\n";
      // The caller waits for these few bytes, so they fit into the socket
      // buffer.
      Socket.write_some(asio::buffer(Continue), EC);
    }
    HeaderSeen = true;
  }
  if (!Parser->is_done())
    return;
  Timer.reset();
  KeepAlive = Parser->keep_alive();
  HttpRequest Request = Parser->release();
  Parser.reset();
  HeadRequest = Request.method() == http::verb::head;
  Stage = SessionStage::Serving;
  updateHold();
  ++RequestCount;
  Handlers.OnRequest(shared_from_this(), std::move(Request));
}

void CallerSession::parseMessage() {
  const PeerScope Scope = peerScope();
  RequestParser Interjected(messageLimits());
  error_code Fault;
  const std::size_t Consumed = Interjected.parse(Unparsed, Fault);
  // Anything else is a pipelined request, which is parsed in its turn.
  if (!Fault && Interjected.is_done() &&
      Handlers.OnMessage(*this, Interjected.release()))
    Unparsed.erase(0, Consumed);
}

void CallerSession::reject(RequestDefect Defect, Duration RetryAfter) {
  if (Handlers.OnRefused)
    Handlers.OnRefused(peerAddress(Socket), Defect);
  Stage = SessionStage::Serving;
  Parser.reset();
  std::string().swap(Unparsed);
  respond(encodeStatusResponse(statusOf(Defect), RetryAfter, false), false);
}

void CallerSession::respond(std::string Bytes, bool KeepOpen) {
  if (Stage != SessionStage::Serving)
    return;
  Stage = SessionStage::Writing;
  KeepOpenAfterWrite = KeepOpen;
  Outgoing = std::move(Bytes);
  auto Self = shared_from_this();
  error_code EC;
  Socket.non_blocking(true, EC);
  // Most responses fit into the socket buffer.
  const std::size_t Sent = Socket.write_some(asio::buffer(Outgoing), EC);
  if (EC && EC != asio::error::would_block) {
    close();
    return;
  }
  if (Sent == Outgoing.size()) {
    onWritten();
    return;
  }
  Written = EC ? 0 : Sent;
  Hold.noteProgress(LoopTimers::now());
  updateHold();
  writeOn();
}

void CallerSession::writeOn() {
  Socket.async_write_some(
      asio::buffer(Outgoing) + Written,
      [Self = shared_from_this()](const error_code &EC, std::size_t Count) {
        if (Self->Stage == SessionStage::Closed)
          return;
        if (EC) {
          Self->close();
          return;
        }
        Self->Written += Count;
        Self->Hold.noteProgress(LoopTimers::now());
        if (Self->Written == Self->Outgoing.size())
          Self->onWritten();
        else
          Self->writeOn();
      });
}

void CallerSession::onWritten() {
  std::string().swap(Outgoing);
  if (!KeepOpenAfterWrite) {
    linger();
    return;
  }
  readNext();
}

void CallerSession::skipResponse() {
  if (Stage == SessionStage::Serving)
    readNext();
}

void CallerSession::readNext() {
  Stage = SessionStage::Reading;
  updateHold();
  startTimer(Handlers.Limits().IdleTimeout, false);
  resumeReading();
  if (!Unparsed.empty())
    asio::post(Socket.get_executor(), [Self = shared_from_this()] {
      if (Self->Stage == SessionStage::Reading)
        Self->parse();
    });
}

void CallerSession::linger() {
  Stage = SessionStage::Lingering;
  updateHold();
  error_code EC;
  Socket.shutdown(asio::ip::tcp::socket::shutdown_send, EC);
  if (EC) {
    close();
    return;
  }
  resumeReading();
  startTimer(LingerTimeout, false);
}

void CallerSession::acknowledge() {
  sendInformational("HTTP/1.1 102 Processing\r\n\r\n");
}

void CallerSession::sendInformational(absl::string_view Bytes) {
  if (Stage != SessionStage::Serving)
    return;
  error_code IgnoredEC;
  Socket.non_blocking(true, IgnoredEC);
  // The few bytes fit into the socket buffer. If they do not, the peer does not
  // read, and the response fails in its turn.
  const std::size_t Sent =
      Socket.write_some(asio::buffer(Bytes.data(), Bytes.size()), IgnoredEC);
  if (Sent != 0 && Sent != Bytes.size())
    close();
}

bool CallerSession::closedByPeer() {
  char Byte = 0;
  error_code EC;
  Socket.non_blocking(true, EC);
  const std::size_t Count = Socket.receive(asio::buffer(&Byte, 1),
                                           asio::socket_base::message_peek, EC);
  return EC ? EC != asio::error::would_block : Count == 0;
}

void CallerSession::closeIfIdle() {
  if (idle())
    linger();
}

void CallerSession::close() {
  if (Stage == SessionStage::Closed)
    return;
  auto Guard = shared_from_this();
  Stage = SessionStage::Closed;
  Timer.reset();
  Parser.reset();
  std::string().swap(Unparsed);
  std::string().swap(Outgoing);
  updateHold();
  error_code IgnoredEC;
  // A failing close cannot be handled.
  Socket.close(IgnoredEC);
  Handlers.OnClosed(*this);
}

} // namespace quetzallead
