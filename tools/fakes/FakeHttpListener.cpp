#include "fakes/FakeHttpListener.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "fakes/FakeExchange.h"
#include "fakes/FakeLoop.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <curl/curl.h>
#include <optional>
#include <sstream>
#include <unordered_set>
#include <utility>

namespace quetzallead {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using Failure = boost::system::error_code;

/// Largest accepted body, bytes.
constexpr std::uint64_t MaxBodyBytes = 8 << 20;

class Connection;

/// What a listener shares with its connections.
struct ListenerState {
  ListenerState(FakeLoop &EventLoop, FakeListenerOptions Opts)
      : Loop(EventLoop), Options(std::move(Opts)) {}

  FakeLoop &Loop;
  FakeListenerOptions Options;
  FakeConnectionCounts Counts;
  bool Refusing = false;
  std::unordered_set<std::shared_ptr<Connection>> Connections;
};

std::string percentDecoded(absl::string_view Text) {
  int Length = 0;
  char *Decoded = curl_easy_unescape(nullptr, Text.data(),
                                     static_cast<int>(Text.size()), &Length);
  if (Decoded == nullptr)
    return std::string(Text);
  std::string Out(Decoded, static_cast<std::size_t>(Length));
  curl_free(Decoded);
  return Out;
}

HttpRequest toRequest(const http::request<http::string_body> &Message) {
  HttpRequest Request;
  Request.Method = std::string(Message.method_string());
  const std::string Target(Message.target());
  const std::pair<absl::string_view, absl::string_view> Parts =
      absl::StrSplit(Target, absl::MaxSplits('?', 1));
  Request.Path = percentDecoded(Parts.first);
  for (absl::string_view Pair :
       absl::StrSplit(Parts.second, '&', absl::SkipEmpty())) {
    const std::pair<absl::string_view, absl::string_view> Param =
        absl::StrSplit(Pair, absl::MaxSplits('=', 1));
    Request.Query.add(percentDecoded(Param.first),
                      percentDecoded(Param.second));
  }
  for (const auto &Field : Message)
    Request.Headers.add(std::string(Field.name_string()),
                        std::string(Field.value()));
  Request.Body = Message.body();
  return Request;
}

/// One accepted connection. It keeps itself alive while it is open.
class Connection : public std::enable_shared_from_this<Connection> {
public:
  Connection(tcp::socket Sock, std::shared_ptr<ListenerState> Shared)
      : Socket(std::move(Sock)), State(std::move(Shared)) {}

  void start();
  void close();
  void write(std::string Bytes, bool CloseAfter);
  bool open() const { return Socket.is_open(); }

private:
  void awaitRequest();
  void readRequest();
  void readBody();
  void deliver();
  void watchForClose(std::uint64_t Serial);

  tcp::socket Socket;
  std::shared_ptr<ListenerState> State;
  boost::beast::flat_buffer Buffer;
  std::optional<http::request_parser<http::string_body>> Parser;
  /// Counts requests; odd while one awaits its reply.
  std::uint64_t Serial = 0;
};

class ConnectionExchange final : public FakeExchange {
public:
  ConnectionExchange(std::shared_ptr<Connection> Owner, HttpRequest Received)
      : Conn(std::move(Owner)), Request(std::move(Received)) {}
  ~ConnectionExchange() override {
    if (!Answered)
      Conn->close();
  }

  const HttpRequest &request() const override { return Request; }
  void reply(const HttpResponse &Response) override {
    replyRaw(serializeResponse(Response), false);
  }
  void replyRaw(std::string Bytes, bool CloseAfter) override {
    if (std::exchange(Answered, true))
      return;
    Conn->write(std::move(Bytes), CloseAfter);
  }
  void close() override {
    Answered = true;
    Conn->close();
  }
  bool closed() const override { return !Conn->open(); }

private:
  std::shared_ptr<Connection> Conn;
  HttpRequest Request;
  bool Answered = false;
};

void Connection::start() {
  Failure Ignored;
  Socket.set_option(tcp::no_delay(true), Ignored);
  if (State->Options.ConnectTime <= absl::ZeroDuration()) {
    awaitRequest();
    return;
  }
  State->Loop.after(State->Options.ConnectTime,
                    [Self = shared_from_this()] { Self->awaitRequest(); });
}

void Connection::close() {
  if (!Socket.is_open())
    return;
  Failure Ignored;
  Socket.close(Ignored);
  --State->Counts.Open;
  State->Connections.erase(shared_from_this());
}

void Connection::awaitRequest() {
  if (!Socket.is_open())
    return;
  if (Buffer.size() > 0) {
    readRequest();
    return;
  }
  Socket.async_wait(tcp::socket::wait_read,
                    [Self = shared_from_this()](const Failure &Failed) {
                      if (!Failed)
                        Self->readRequest();
                    });
}

void Connection::readRequest() {
  Failure Ignored;
  const bool Ended = Buffer.size() == 0 && Socket.available(Ignored) == 0;
  const auto &MayRead = State->Options.MayReadRequest;
  if (Ended || (MayRead && !MayRead())) {
    close();
    return;
  }
  Parser.emplace();
  Parser->body_limit(MaxBodyBytes);
  http::async_read_header(
      Socket, Buffer, *Parser,
      [Self = shared_from_this()](const Failure &Failed, std::size_t) {
        if (Failed)
          Self->close();
        else
          Self->readBody();
      });
}

void Connection::readBody() {
  const auto &MayRead = State->Options.MayReadBody;
  if (MayRead && !MayRead()) {
    close();
    return;
  }
  http::async_read(
      Socket, Buffer, *Parser,
      [Self = shared_from_this()](const Failure &Failed, std::size_t) {
        if (Failed)
          Self->close();
        else
          Self->deliver();
      });
}

void Connection::deliver() {
  ++Serial;
  watchForClose(Serial);
  HttpRequest Request = toRequest(Parser->get());
  State->Options.OnRequest(std::make_shared<ConnectionExchange>(
      shared_from_this(), std::move(Request)));
}

// A client that goes away while its request is served must free its place
// among the connections.
void Connection::watchForClose(std::uint64_t Watched) {
  Socket.async_wait(tcp::socket::wait_read, [Self = shared_from_this(),
                                             Watched](const Failure &Failed) {
    if (Failed || Self->Serial != Watched)
      return;
    Failure Ignored;
    if (Self->Socket.available(Ignored) == 0)
      Self->close();
  });
}

void Connection::write(std::string Bytes, bool CloseAfter) {
  if (!Socket.is_open())
    return;
  ++Serial;
  auto Text = std::make_shared<std::string>(std::move(Bytes));
  asio::async_write(Socket, asio::buffer(*Text),
                    [Self = shared_from_this(), Text,
                     CloseAfter](const Failure &Failed, std::size_t) {
                      if (Failed || CloseAfter)
                        Self->close();
                      else
                        Self->awaitRequest();
                    });
}

class AsioListener final : public FakeHttpListener {
public:
  AsioListener(FakeLoop &Loop, FakeListenerOptions Options)
      : State(std::make_shared<ListenerState>(Loop, std::move(Options))),
        Acceptor(Loop.context()) {}
  ~AsioListener() override { closeConnections(); }

  std::string address() const override {
    return absl::StrCat(Endpoint.address().to_string(), ":", Endpoint.port());
  }
  FakeConnectionCounts counts() const override { return State->Counts; }
  void refuseConnections(bool Refuse) override { State->Refusing = Refuse; }

  void closeConnections() override {
    const auto Open = State->Connections;
    for (const std::shared_ptr<Connection> &Conn : Open)
      Conn->close();
  }

  bool setListening(bool Listening) override {
    if (Listening == Acceptor.is_open())
      return true;
    Failure Failed;
    if (!Listening) {
      Acceptor.close(Failed);
      return true;
    }
    return bind();
  }

  bool resolve() {
    const std::pair<std::string, std::string> Parts = absl::StrSplit(
        State->Options.Listen, absl::MaxSplits(absl::ByChar(':'), 1));
    int Port = 0;
    Failure Failed;
    const auto Ip = asio::ip::make_address(Parts.first, Failed);
    if (Failed || !absl::SimpleAtoi(Parts.second, &Port))
      return false;
    Endpoint = tcp::endpoint(Ip, static_cast<unsigned short>(Port));
    return true;
  }

  bool bind() {
    Failure Failed;
    Acceptor.open(Endpoint.protocol(), Failed);
    if (!Failed)
      Acceptor.set_option(tcp::acceptor::reuse_address(true), Failed);
    if (!Failed)
      Acceptor.bind(Endpoint, Failed);
    if (!Failed)
      Acceptor.listen(tcp::acceptor::max_listen_connections, Failed);
    if (Failed) {
      Failure Ignored;
      Acceptor.close(Ignored);
      return false;
    }
    Endpoint = Acceptor.local_endpoint(Failed);
    accept();
    return true;
  }

private:
  void accept() {
    Acceptor.async_accept([this](const Failure &Failed, tcp::socket Socket) {
      if (Failed == asio::error::operation_aborted)
        return;
      if (!Failed)
        admit(std::move(Socket));
      if (Acceptor.is_open())
        accept();
    });
  }

  void admit(tcp::socket Socket) {
    FakeConnectionCounts &Counts = State->Counts;
    const int Limit = State->Options.ConnectionLimit;
    if (State->Refusing || (Limit > 0 && Counts.Open >= Limit)) {
      ++Counts.Refused;
      return;
    }
    ++Counts.Accepted;
    ++Counts.Open;
    Counts.Peak = std::max(Counts.Peak, Counts.Open);
    auto Conn = std::make_shared<Connection>(std::move(Socket), State);
    State->Connections.insert(Conn);
    Conn->start();
  }

  std::shared_ptr<ListenerState> State;
  tcp::acceptor Acceptor;
  tcp::endpoint Endpoint;
};

} // namespace

std::string serializeResponse(const HttpResponse &Response) {
  http::response<http::string_body> Message;
  Message.result(static_cast<unsigned>(Response.Status));
  if (Response.Status == 499)
    Message.reason("Client Closed Request");
  for (const HttpField &Field : Response.Headers.all())
    Message.insert(Field.Name, Field.Value);
  Message.body() = Response.Body;
  Message.prepare_payload();
  std::ostringstream Out;
  Out << Message;
  return Out.str();
}

std::unique_ptr<FakeHttpListener>
FakeHttpListener::make(FakeLoop &Loop, FakeListenerOptions Options) {
  auto Listener = std::make_unique<AsioListener>(Loop, std::move(Options));
  if (!Listener->resolve() || !Listener->bind())
    return nullptr;
  return Listener;
}

} // namespace quetzallead
