#include "relay/HttpConnection.h"
#include "absl/strings/numbers.h"
#include "absl/strings/strip.h"
#include "relay/SocketOptions.h"
#include "runtime/Endpoint.h"
#include <boost/asio/write.hpp>

namespace quetzallead {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

HttpConnection::HttpConnection(asio::io_context &GivenLoop,
                               LoopTimers &GivenTimers,
                               std::string GivenAddress,
                               HttpConnectionLimits GivenLimits)
    : Loop(GivenLoop), Timers(GivenTimers), Socket(GivenLoop),
      Address(std::move(GivenAddress)), Limits(GivenLimits) {}

void HttpConnection::connect() {
  Stage = ConnectionStage::Connecting;
  auto Parsed = capture([&] { return parseEndpoint(Address); });
  auto Self = shared_from_this();
  if (std::holds_alternative<Error>(Parsed)) {
    asio::post(Loop, [Self] { Self->fail(AttemptResult::NotSent); });
    return;
  }
  Timer = Timers.at(LoopTimers::now() + Limits.ConnectTime, [this](TimePoint) {
    auto Hold = shared_from_this();
    fail(AttemptResult::NotSent);
  });
  Socket.async_connect(
      std::get<asio::ip::tcp::endpoint>(Parsed),
      [Self](const error_code &Fault) { Self->onConnected(Fault); });
}

void HttpConnection::onConnected(const error_code &Fault) {
  if (Stage != ConnectionStage::Connecting)
    return;
  Timer.reset();
  if (Fault) {
    fail(AttemptResult::NotSent);
    return;
  }
  Stage = ConnectionStage::Open;
  WasConnected = true;
  IdleSince = LoopTimers::now();
  setSocketOptions(Socket, Limits.UnconfirmedTime, Limits.ProbeTime);
  if (Done != nullptr)
    write();
  read();
  if (Done == nullptr && OnReady)
    OnReady();
}

void HttpConnection::exchange(HttpExchange Request, HttpExchangeDone OnDone) {
  Current = std::move(Request);
  Done = std::move(OnDone);
  AnySent = false;
  expectAnswer();
  Unparsed.clear();
  if (Stage == ConnectionStage::New)
    connect();
  else if (Stage == ConnectionStage::Open)
    write();
  else if (Stage == ConnectionStage::Closed)
    asio::post(Loop, [Self = shared_from_this()] {
      Self->fail(AttemptResult::NotSent);
    });
}

void HttpConnection::expectAnswer() {
  Answer.emplace();
  Answer->eager(true);
  Answer->header_limit(static_cast<std::uint32_t>(Limits.HeaderBytes));
  Answer->body_limit(Limits.BodyBytes);
  Answer->skip(Current.HeadRequest);
}

void HttpConnection::write() {
  auto Self = shared_from_this();
  Timer = Timers.at(Current.Deadline, [this](TimePoint) {
    auto Hold = shared_from_this();
    fail(AttemptResult::TimedOut);
  });
  Writing = true;
  // The whole request mostly fits into the socket at once.
  error_code Fault;
  Socket.non_blocking(true, Fault);
  std::size_t Sent = Socket.write_some(asio::buffer(Current.Bytes), Fault);
  if (Fault && Fault != asio::error::would_block) {
    asio::post(Loop, [Self] { Self->fail(AttemptResult::NotSent); });
    return;
  }
  AnySent = Sent > 0;
  if (Sent == Current.Bytes.size()) {
    Writing = false;
    return;
  }
  asio::async_write(Socket, asio::buffer(Current.Bytes) + Sent,
                    [Self](const error_code &WriteFault, std::size_t More) {
                      Self->AnySent = Self->AnySent || More > 0;
                      Self->Writing = false;
                      // After a write fault an answer may still be readable;
                      // the pending read tells.
                      if (WriteFault && !Self->AnySent)
                        Self->fail(AttemptResult::NotSent);
                    });
}

void HttpConnection::read() {
  auto Self = shared_from_this();
  Socket.async_read_some(asio::buffer(Buffer),
                         [Self](const error_code &Fault, std::size_t Count) {
                           if (Self->Stage != ConnectionStage::Open)
                             return;
                           if (Fault)
                             Self->onReadEnd(Fault == asio::error::eof);
                           else
                             Self->onBytes(Count);
                         });
}

void HttpConnection::onReadEnd(bool Clean) {
  if (Done == nullptr) {
    fail(AttemptResult::Lost);
    return;
  }
  if (Clean && Answer->is_header_done() && !Answer->is_done()) {
    // An answer without a length ends with its connection.
    error_code Fault;
    Answer->put_eof(Fault);
    if (!Fault && Answer->is_done()) {
      complete(false);
      return;
    }
  }
  if (Answer->got_some())
    fail(AttemptResult::Lost);
  else
    fail(AnySent ? AttemptResult::Lost : AttemptResult::NotSent);
}

void HttpConnection::onBytes(std::size_t Count) {
  if (Done == nullptr) {
    // Nobody asked: these bytes must not meet the next request.
    close();
    return;
  }
  auto Self = shared_from_this();
  parse(absl::string_view(Buffer.data(), Count));
  if (Stage == ConnectionStage::Open)
    read();
}

void HttpConnection::parse(absl::string_view Bytes) {
  if (!Unparsed.empty()) {
    Unparsed.append(Bytes.data(), Bytes.size());
    Bytes = Unparsed;
  }
  error_code Fault;
  std::size_t Used = 0;
  while (Used < Bytes.size() && !Answer->is_done()) {
    const std::size_t Step = Answer->put(
        asio::buffer(Bytes.data() + Used, Bytes.size() - Used), Fault);
    Used += Step;
    if (Fault == http::error::need_more || (!Fault && Step == 0))
      break;
    if (Fault) {
      fail(AttemptResult::BadReply);
      return;
    }
  }
  std::string Rest(Bytes.substr(Used));
  Unparsed = std::move(Rest);
  if (!Answer->is_done())
    return;
  if (http::to_status_class(Answer->get().result()) ==
      http::status_class::informational) {
    // The final answer follows.
    expectAnswer();
    if (!Unparsed.empty()) {
      std::string Again = std::move(Unparsed);
      Unparsed.clear();
      parse(Again);
    }
    return;
  }
  // Bytes behind the answer, or a request that is not out yet, make the
  // connection useless.
  complete(Answer->keep_alive() && Unparsed.empty() && !Writing);
}

/// The seconds of "timeout=N" in a Keep-Alive header.
static std::optional<Duration> statedKeepTime(const HttpResponse &Response) {
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

/// True if \p Response says that it answers another request than \p Request.
static bool isForeign(const HttpResponse &Response,
                      const HttpExchange &Request) {
  if (Request.EchoHeader.empty())
    return false;
  auto Echo = Response.find(Request.EchoHeader);
  return Echo != Response.end() && Echo->value() != Request.EchoValue;
}

void HttpConnection::complete(bool Reusable) {
  if (isForeign(Answer->get(), Current)) {
    fail(AttemptResult::BadReply);
    return;
  }
  Timer.reset();
  HttpExchangeEnd End;
  End.Result = AttemptResult::Answered;
  End.Response = std::make_shared<HttpResponse>(Answer->release());
  HttpExchangeDone Callback = std::move(Done);
  Done = nullptr;
  IdleSince = LoopTimers::now();
  const auto KeepTime = statedKeepTime(*End.Response);
  KeptUntil = KeepTime ? IdleSince + *KeepTime : absl::InfiniteFuture();
  if (!Reusable)
    close();
  Callback(std::move(End));
}

void HttpConnection::fail(AttemptResult Result) {
  if (Stage == ConnectionStage::Closed && Done == nullptr)
    return;
  Stage = ConnectionStage::Closed;
  Timer.reset();
  error_code Ignored;
  // Nothing can be done about a failing close.
  Socket.close(Ignored);
  HttpExchangeDone Callback = std::move(Done);
  Done = nullptr;
  std::function<void(bool)> Closed = std::move(OnClosed);
  OnClosed = nullptr;
  OnReady = nullptr;
  if (Callback) {
    HttpExchangeEnd End;
    End.Result = Result;
    Callback(std::move(End));
  }
  if (Closed)
    Closed(WasConnected);
}

void HttpConnection::close() { fail(AttemptResult::Cancelled); }

} // namespace quetzallead
