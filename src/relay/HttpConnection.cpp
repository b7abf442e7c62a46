#include "relay/HttpConnection.h"
#include "absl/strings/numbers.h"
#include "absl/strings/strip.h"
#include "relay/SocketOptions.h"
#include "runtime/Endpoint.h"
#include "runtime/PeerScope.h"
#include <boost/asio/write.hpp>

namespace quetzallead {

/// Receive buffer of the socket: what a peer can send before it is read.
static constexpr int ReceiveBufferBytes = 64 * 1024;
/// Longest body that is received to keep the connection although nobody needs
/// it.
static constexpr std::size_t MaxDiscardedBytes = std::size_t{256} << 10;

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

HttpConnection::HttpConnection(asio::io_context &GivenLoop,
                               LoopTimers &GivenTimers,
                               std::string GivenAddress,
                               HttpConnectionLimits GivenLimits)
    : Loop(GivenLoop), Timers(GivenTimers), Socket(GivenLoop),
      Address(std::move(GivenAddress)), Limits(GivenLimits),
      Hold(Limits.Memory, Limits.Use) {
  updateHold();
}

void HttpConnection::connect() {
  Stage = ConnectionStage::Connecting;
  auto Parsed = capture([&] { return parseEndpoint(Address); });
  auto Self = shared_from_this();
  // The owner keeps this object while it is open.
  Hold.OnEnd = [this] { endResponse(); };
  Hold.OnResume = [this] {
    ReadPaused = false;
    if (Stage == ConnectionStage::Open)
      read();
  };
  if (std::holds_alternative<Error>(Parsed)) {
    asio::post(Loop, [Self] { Self->fail(AttemptResult::NotSent); });
    return;
  }
  Timer =
      Timers.at(LoopTimers::now() + Limits.ConnectTimeout, [this](TimePoint) {
        auto Guard = shared_from_this();
        fail(AttemptResult::NotSent);
      });
  const auto &Peer = std::get<asio::ip::tcp::endpoint>(Parsed);
  openWithReceiveBuffer(Socket, Peer, ReceiveBufferBytes);
  Socket.async_connect(Peer,
                       [Self](const error_code &EC) { Self->onConnected(EC); });
}

void HttpConnection::onConnected(const error_code &EC) {
  if (Stage != ConnectionStage::Connecting)
    return;
  Timer.reset();
  if (EC) {
    fail(AttemptResult::NotSent);
    return;
  }
  Stage = ConnectionStage::Open;
  End = ConnectionEnd::Closed;
  IdleSince = LoopTimers::now();
  setSocketOptions(Socket, Limits.UnackedTimeout, Limits.KeepAliveInterval);
  if (Done != nullptr && LoopTimers::now() >= Current.LatestStart) {
    fail(AttemptResult::NotSent);
    return;
  }
  if (Done != nullptr)
    write();
  read();
  if (Done == nullptr && OnReady)
    OnReady();
}

void HttpConnection::exchange(HttpExchange Request,
                              HttpExchangeCallback OnDone) {
  Current = std::move(Request);
  Done = std::move(OnDone);
  ++ExchangeCount;
  AnyBytesSent = false;
  Discarding = false;
  DiscardedBytes = 0;
  InterimBytes = 0;
  Hold.setUse(Limits.Use);
  Hold.setUsualBytes(Current.UsualBytes);
  Hold.noteProgress(LoopTimers::now());
  resetParser();
  Unparsed.clear();
  updateHold();
  if (Stage == ConnectionStage::New)
    connect();
  else if (Stage == ConnectionStage::Open)
    write();
  else if (Stage == ConnectionStage::Closed)
    asio::post(Loop, [Self = shared_from_this()] {
      Self->fail(AttemptResult::NotSent);
    });
}

void HttpConnection::resetParser() {
  Head = ResponseHead();
  HeadBytes = 0;
  HeadFields.reset();
  Parser.emplace(MessageLimits{Limits.HeaderBytes, Limits.BodyBytes});
  Parser->skip(Current.HeadRequest);
}

void HttpConnection::write() {
  auto Self = shared_from_this();
  Timer = Timers.at(Current.Deadline, [this](TimePoint) {
    auto Guard = shared_from_this();
    fail(AttemptResult::TimedOut);
  });
  Writing = true;
  // The whole request usually fits into the socket buffer.
  error_code EC;
  Socket.non_blocking(true, EC);
  std::size_t Sent = Socket.write_some(asio::buffer(Current.Bytes), EC);
  if (EC && EC != asio::error::would_block) {
    asio::post(Loop, [Self] { Self->fail(AttemptResult::NotSent); });
    return;
  }
  AnyBytesSent = Sent > 0;
  if (Sent == Current.Bytes.size()) {
    Writing = false;
    dropRequest();
    return;
  }
  asio::async_write(Socket, asio::buffer(Current.Bytes) + Sent,
                    [Self](const error_code &WriteEC, std::size_t Written) {
                      Self->AnyBytesSent = Self->AnyBytesSent || Written > 0;
                      Self->Writing = false;
                      Self->dropRequest();
                      // After a write error a response may still be
                      // readable; the pending read decides.
                      if (WriteEC && !Self->AnyBytesSent)
                        Self->fail(AttemptResult::NotSent);
                    });
}

void HttpConnection::read() {
  auto Self = shared_from_this();
  Socket.async_read_some(asio::buffer(Buffer),
                         [Self](const error_code &EC, std::size_t Count) {
                           if (Self->Stage != ConnectionStage::Open)
                             return;
                           if (EC)
                             Self->onReadEnd(EC);
                           else
                             Self->onBytes(Count);
                         });
}

/// True for the errors that the kernel reports when the peer acknowledges
/// nothing.
static bool isSilence(const error_code &EC) {
  return EC == asio::error::timed_out || EC == asio::error::host_unreachable ||
         EC == asio::error::network_unreachable;
}

void HttpConnection::onReadEnd(const error_code &EC) {
  if (isSilence(EC))
    End = ConnectionEnd::Silent;
  if (Done == nullptr) {
    fail(AttemptResult::Lost);
    return;
  }
  if (EC == asio::error::eof && Parser->is_header_done() &&
      !Parser->is_done()) {
    // A response without a length is delimited by the close.
    error_code Fault;
    Parser->put_eof(Fault);
    if (!Fault && Parser->is_done()) {
      complete(false);
      return;
    }
  }
  const bool AnyBytesReceived = Parser->got_some() || !Unparsed.empty();
  fail(AnyBytesSent || AnyBytesReceived ? AttemptResult::Lost
                                        : AttemptResult::NotSent);
}

void HttpConnection::onBytes(std::size_t Count) {
  if (Done == nullptr) {
    // Unsolicited bytes must not be taken for the response to the next
    // request.
    close();
    return;
  }
  auto Self = shared_from_this();
  const PeerScope Scope(
      "reading a response",
      [](const void *Peer) {
        return static_cast<const HttpConnection *>(Peer)->Address;
      },
      this);
  parse(absl::string_view(Buffer.data(), Count));
  updateHold();
  if (Stage != ConnectionStage::Open)
    return;
  Hold.noteProgress(LoopTimers::now());
  if (Done == nullptr || Hold.mayRead()) {
    read();
    return;
  }
  ReadPaused = true;
  updateHold();
  Hold.pause();
}

void HttpConnection::updateHold() {
  std::size_t Bytes =
      sizeof(*this) + Current.Bytes.capacity() + Unparsed.capacity();
  if (Parser && Stage != ConnectionStage::Closed)
    Bytes += Parser->message().body().size();
  Hold.resize(Bytes + (ReadPaused ? ReceiveBufferBytes : 0));
}

void HttpConnection::dropRequest() {
  std::string().swap(Current.Bytes);
  updateHold();
}

void HttpConnection::discardResponse() {
  if (Done == nullptr)
    return;
  Discarding = true;
  Hold.setUse(MemoryUse::AbandonedAnswer);
  discardBody();
  updateHold();
}

void HttpConnection::discardBody() {
  std::string &Body = Parser->message().body();
  DiscardedBytes += Body.size();
  std::string().swap(Body);
  if (DiscardedBytes <= MaxDiscardedBytes)
    return;
  asio::post(Loop, [Self = shared_from_this(), Exchange = ExchangeCount] {
    if (Self->Done != nullptr && Self->ExchangeCount == Exchange)
      Self->close();
  });
}

void HttpConnection::endResponse() {
  auto Self = shared_from_this();
  // An overgrown answer counts against the server; an answer that is ended for
  // lack of memory only does not.
  const bool Overgrown =
      rankOf(Hold.held(), LoopTimers::now()) == MemoryRank::Overgrown;
  if (Overgrown)
    refuse(ResponseDefect::TooLarge);
  else
    fail(AttemptResult::Cancelled);
}

void HttpConnection::onHead() {
  if (Head.Chunked)
    HeadFields = Parser->message().base();
  if (!isInterim(Head) && Current.OnHead)
    Current.OnHead(Parser->message().base());
}

/// What the parser refuses in a response whose head is sound.
static ResponseDefect defectOf(const error_code &EC) {
  const bool TooLarge =
      EC == http::error::body_limit || EC == http::error::header_limit;
  return TooLarge ? ResponseDefect::TooLarge : ResponseDefect::Framing;
}

ResponseDefect HttpConnection::parseHead(absl::string_view Bytes,
                                         std::size_t &Consumed) {
  HeadBytes += addHeadLines(Head, Bytes.substr(HeadBytes));
  if (Head.Defect != ResponseDefect::None)
    return Head.Defect;
  if ((Head.Complete ? HeadBytes : Bytes.size()) > Limits.HeaderBytes)
    return ResponseDefect::TooLarge;
  if (!Head.Complete)
    return ResponseDefect::None;
  error_code EC;
  Consumed = Parser->parse({Bytes.data(), HeadBytes}, EC);
  // Nothing that passes for a head here may mean anything else to the parser.
  if (EC || !Parser->is_header_done() || Consumed != HeadBytes)
    return defectOf(EC);
  onHead();
  return ResponseDefect::None;
}

ResponseDefect HttpConnection::parseResponse(absl::string_view Bytes,
                                             std::size_t &Offset) {
  if (!Head.Complete) {
    std::size_t Consumed = 0;
    const ResponseDefect Defect = parseHead(Bytes.substr(Offset), Consumed);
    Offset += Consumed;
    if (Defect != ResponseDefect::None || !Head.Complete)
      return Defect;
  }
  error_code EC;
  Offset += Parser->parse({Bytes.data() + Offset, Bytes.size() - Offset}, EC);
  if (Discarding)
    discardBody();
  if (EC)
    return defectOf(EC);
  // A chunk extension or a trailer that does not end.
  const bool Endless =
      !Parser->is_done() && Bytes.size() - Offset > Limits.HeaderBytes;
  return Endless ? ResponseDefect::TooLarge : ResponseDefect::None;
}

bool HttpConnection::passInterim() {
  InterimBytes += HeadBytes;
  if (InterimBytes > Limits.HeaderBytes) {
    refuse(ResponseDefect::InterimResponses);
    return false;
  }
  const HttpResponseHead Interim = Parser->message().base();
  resetParser();
  if (Current.OnInformational)
    Current.OnInformational(Interim);
  return Stage == ConnectionStage::Open && Done != nullptr;
}

void HttpConnection::parse(absl::string_view Bytes) {
  std::string Received = std::move(Unparsed);
  Unparsed.clear();
  if (!Received.empty()) {
    Received.append(Bytes.data(), Bytes.size());
    Bytes = Received;
  }
  std::size_t Offset = 0;
  for (;;) {
    const ResponseDefect Defect = parseResponse(Bytes, Offset);
    if (Defect != ResponseDefect::None) {
      refuse(Defect);
      return;
    }
    if (!Parser->is_done() || !isInterim(Head))
      break;
    // The final response follows.
    if (!passInterim())
      return;
  }
  Unparsed.assign(Bytes.data() + Offset, Bytes.size() - Offset);
  // The connection cannot be reused if bytes follow the response or the
  // request is not fully written.
  if (Parser->is_done())
    complete(Parser->keep_alive() && Unparsed.empty() && !Writing);
}

/// Returns N of "timeout=N" in the Keep-Alive header, in seconds.
static std::optional<Duration>
parseKeepAliveTimeout(const HttpResponse &Response) {
  for (absl::string_view Text(Response[http::field::keep_alive].data(),
                              Response[http::field::keep_alive].size());
       !Text.empty();) {
    const std::size_t Comma = std::min(Text.find(','), Text.size());
    absl::string_view Item = Text.substr(0, Comma);
    Text.remove_prefix(std::min(Text.size(), Comma + 1));
    while (!Item.empty() && Item.front() == ' ')
      Item.remove_prefix(1);
    std::int64_t Seconds = 0;
    if (absl::ConsumePrefix(&Item, "timeout=") &&
        absl::SimpleAtoi(Item, &Seconds))
      return absl::Seconds(Seconds);
  }
  return std::nullopt;
}

/// True if the echo header of \p Response names a request other than
/// \p Request.
static bool hasMismatchedEcho(const HttpResponse &Response,
                              const HttpExchange &Request) {
  if (Request.EchoHeader.empty())
    return false;
  auto Echo = Response.find(Request.EchoHeader);
  return Echo != Response.end() && Echo->value() != Request.EchoValue;
}

void HttpConnection::complete(bool Reusable) {
  if (HeadFields)
    Parser->message().base() = std::move(*HeadFields);
  if (hasMismatchedEcho(Parser->message(), Current)) {
    refuse(ResponseDefect::OtherRequest);
    return;
  }
  Timer.reset();
  HttpExchangeResult ExchangeEnd;
  ExchangeEnd.Result = AttemptResult::Answered;
  ExchangeEnd.Response = std::make_shared<HttpResponse>(Parser->release());
  HttpExchangeCallback Callback = std::move(Done);
  Done = nullptr;
  Parser.reset();
  updateHold();
  IdleSince = LoopTimers::now();
  const auto KeepAliveTimeout = parseKeepAliveTimeout(*ExchangeEnd.Response);
  IdleExpiry =
      KeepAliveTimeout ? IdleSince + *KeepAliveTimeout : absl::InfiniteFuture();
  if (!Reusable)
    close();
  Callback(std::move(ExchangeEnd));
}

void HttpConnection::refuse(ResponseDefect Defect) {
  fail(AttemptResult::BadReply, Defect);
}

void HttpConnection::fail(AttemptResult Result, ResponseDefect Defect) {
  if (Stage == ConnectionStage::Closed && Done == nullptr)
    return;
  Stage = ConnectionStage::Closed;
  Timer.reset();
  error_code IgnoredEC;
  // A failing close cannot be handled.
  Socket.close(IgnoredEC);
  HttpExchangeCallback Callback = std::move(Done);
  Done = nullptr;
  std::string().swap(Unparsed);
  std::string().swap(Current.Bytes);
  ReadPaused = false;
  updateHold();
  std::function<void(ConnectionEnd)> Closed = std::move(OnClosed);
  OnClosed = nullptr;
  OnReady = nullptr;
  if (Callback) {
    HttpExchangeResult ExchangeEnd;
    ExchangeEnd.Result = Result;
    ExchangeEnd.Defect = Defect;
    Callback(std::move(ExchangeEnd));
  }
  if (Closed)
    Closed(End);
}

void HttpConnection::sendMessage(absl::string_view Bytes) {
  if (Stage != ConnectionStage::Open || Done == nullptr)
    return;
  // The few bytes fit into the socket buffer. If they do not, the peer does not
  // read, and the rest of them must not follow later.
  error_code Fault;
  const std::size_t Sent =
      Writing
          ? 0
          : Socket.write_some(asio::buffer(Bytes.data(), Bytes.size()), Fault);
  if (Sent != Bytes.size())
    asio::post(
        Loop, [Self = shared_from_this()] { Self->fail(AttemptResult::Lost); });
}

void HttpConnection::close() { fail(AttemptResult::Cancelled); }

} // namespace quetzallead
