#include "transport/http/HttpServer.h"
#include "absl/container/flat_hash_set.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "runtime/PeerScope.h"
#include "transport/net/AcceptLoop.h"
#include "transport/net/ListenSocket.h"
#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <microhttpd.h>
#include <mutex>
#include <netdb.h>
#include <optional>
#include <sys/socket.h>
#include <unistd.h>

namespace quetzallead {
namespace {

/// A body up to this multiple of the limit is read and dropped, so that the
/// sender gets to read its 413; a longer one ends the connection.
constexpr std::size_t DiscardFactor = 4;
/// Time that the destructor waits for the last answers to leave.
constexpr std::chrono::seconds StopLimit(2);

enum class ExchangeState {
  Receiving, ///< The body is still arriving.
  Handling,  ///< The handler runs on the server thread.
  Suspended, ///< The handler returned without an answer.
  Answered,  ///< An answer was given; it may still have to be queued.
};

/// One request with its answer. Shared by the library's connection and the
/// responder, whichever lives longer.
struct Exchange {
  std::mutex Lock;
  ExchangeState State = ExchangeState::Receiving;
  /// Null once the library is done with the request.
  MHD_Connection *Connection = nullptr;
  std::optional<HttpResponse> Response;

  /// The fields below belong to the server thread.
  HttpRequest Request;
  bool HeadersSeen = false;
  bool MalformedTarget = false;
  std::size_t BodyBytes = 0;
};

using ExchangePtr = std::shared_ptr<Exchange>;

/// Gives \p Response to the connection unless it has an answer already.
void answer(Exchange &E, HttpResponse Response) {
  std::lock_guard<std::mutex> Guard(E.Lock);
  if (E.State == ExchangeState::Answered || E.Connection == nullptr)
    return;
  bool MustResume = E.State == ExchangeState::Suspended;
  E.Response = std::move(Response);
  E.State = ExchangeState::Answered;
  if (MustResume)
    MHD_resume_connection(E.Connection);
}

HttpResponse plainResponse(int Status, const char *Text) {
  HttpResponse R;
  R.Status = Status;
  R.Headers.add("Content-Type", "text/plain");
  R.Body = Text;
  return R;
}

/// Answers 500 when the last copy of a responder is dropped unused.
class AnswerGuard {
public:
  explicit AnswerGuard(ExchangePtr Target) : E(std::move(Target)) {}
  AnswerGuard(const AnswerGuard &) = delete;
  AnswerGuard &operator=(const AnswerGuard &) = delete;
  ~AnswerGuard() { give(plainResponse(500, "no answer was given\n")); }

  void give(HttpResponse Response) const { answer(*E, std::move(Response)); }

private:
  ExchangePtr E;
};

/// The library or this file sets these; a handler's own value is dropped.
bool isFramingHeader(const std::string &Name) {
  return absl::EqualsIgnoreCase(Name, "Content-Length") ||
         absl::EqualsIgnoreCase(Name, "Transfer-Encoding") ||
         absl::EqualsIgnoreCase(Name, "Connection");
}

MHD_Response *makeMhdResponse(HttpResponse Response, bool CloseConnection) {
  auto *Body = new std::string(std::move(Response.Body));
  MHD_Response *Out = MHD_create_response_from_buffer_with_free_callback_cls(
      Body->size(), Body->data(),
      [](void *Cls) { delete static_cast<std::string *>(Cls); }, Body);
  if (Out == nullptr) {
    delete Body;
    return nullptr;
  }
  // The library refuses a field with a line break in it.
  for (const HttpField &Field : Response.Headers.all())
    if (!isFramingHeader(Field.Name))
      MHD_add_response_header(Out, Field.Name.c_str(), Field.Value.c_str());
  if (CloseConnection)
    MHD_add_response_header(Out, MHD_HTTP_HEADER_CONNECTION, "close");
  return Out;
}

MHD_Result appendField(void *Cls, MHD_ValueKind, const char *Key,
                       std::size_t KeySize, const char *Value,
                       std::size_t ValueSize) {
  auto *Fields = static_cast<HttpFields *>(Cls);
  Fields->add(std::string(Key, KeySize),
              Value ? std::string(Value, ValueSize) : std::string());
  return MHD_YES;
}

/// The address of the peer of an MHD_Connection.
std::string addressOf(const void *Connection) {
  const MHD_ConnectionInfo *Info = MHD_get_connection_info(
      static_cast<MHD_Connection *>(const_cast<void *>(Connection)),
      MHD_CONNECTION_INFO_CLIENT_ADDRESS);
  std::array<char, NI_MAXHOST> Host{};
  std::array<char, NI_MAXSERV> Port{};
  const bool Known =
      Info != nullptr && Info->client_addr != nullptr &&
      getnameinfo(Info->client_addr, sizeof(sockaddr_in), Host.data(),
                  Host.size(), Port.data(), Port.size(),
                  NI_NUMERICHOST | NI_NUMERICSERV) == 0;
  return Known ? absl::StrCat(Host.data(), ":", Port.data()) : std::string();
}

class MhdHttpServer : public HttpServer {
public:
  MhdHttpServer(HttpServerOptions ServerOptions, Handler RequestHandler)
      : Options(std::move(ServerOptions)),
        OnRequest(std::move(RequestHandler)) {}
  ~MhdHttpServer() override;

  /// Starts the library's threads on \p Descriptor and owns it from then on.
  bool serve(int Descriptor);

  int port() const override { return Port; }
  int inFlight() const override { return InFlight.load(); }
  void closeAfterAnswers() override { CloseConnections = true; }
  void stopAccepting() override;

private:
  static void *onTarget(void *Cls, const char *Target, MHD_Connection *);
  static MHD_Result onAccess(void *Cls, MHD_Connection *Connection,
                             const char *Url, const char *Method,
                             const char *Version, const char *UploadData,
                             std::size_t *UploadSize, void **ExchangeCls);
  static void onCompleted(void *Cls, MHD_Connection *, void **ExchangeCls,
                          MHD_RequestTerminationCode);
  static void onConnection(void *Cls, MHD_Connection *Connection, void **,
                           MHD_ConnectionNotificationCode Code);

  MHD_Result receiveHeaders(Exchange &E, MHD_Connection *Connection,
                            const char *Url, const char *Method);
  MHD_Result receiveBody(Exchange &E, const char *Data, std::size_t &Size);
  MHD_Result receiveEnd(const ExchangePtr &E);
  MHD_Result dispatch(const ExchangePtr &E);
  MHD_Result queue(Exchange &E);
  MHD_Result queueNow(MHD_Connection *Connection, HttpResponse Response,
                      bool CloseConnection);
  void answerAll(const HttpResponse &Response);
  void handOver(int Accepted, const sockaddr *Address, socklen_t Size);
  void endConnections();

  const HttpServerOptions Options;
  const Handler OnRequest;
  MHD_Daemon *Daemon = nullptr;
  std::unique_ptr<AcceptLoop> Listener;
  int Port = 0;
  std::atomic<int> InFlight{0};
  std::atomic<bool> CloseConnections{false};

  std::mutex Lock;
  /// Open or Connections has become empty.
  std::condition_variable AllDone;
  /// Whole requests whose answers have not wholly left.
  absl::flat_hash_set<ExchangePtr> Open;
  /// Descriptors that the library reads from.
  absl::flat_hash_set<int> Connections;
  /// Connections that the library has been given and not begun to read.
  int NotBegun = 0;
  bool Stopping = false;
  /// Connections are not read any more.
  bool Ending = false;
};

bool MhdHttpServer::serve(int Descriptor) {
  Port = boundPort(Descriptor);
  std::vector<MHD_OptionItem> Items = {
      {MHD_OPTION_CONNECTION_LIMIT,
       static_cast<intptr_t>(Options.MaxConnections), nullptr},
      {MHD_OPTION_CONNECTION_TIMEOUT,
       static_cast<intptr_t>(absl::ToInt64Seconds(Options.IdleTimeout)),
       nullptr},
      {MHD_OPTION_STRICT_FOR_CLIENT, 1, nullptr},
  };
  if (Options.Threads > 1)
    Items.push_back({MHD_OPTION_THREAD_POOL_SIZE,
                     static_cast<intptr_t>(Options.Threads), nullptr});
  Items.push_back({MHD_OPTION_END, 0, nullptr});
  Daemon = MHD_start_daemon(
      MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME |
          MHD_USE_NO_LISTEN_SOCKET,
      0, nullptr, nullptr, &onAccess, this, MHD_OPTION_ARRAY, Items.data(),
      MHD_OPTION_URI_LOG_CALLBACK, &onTarget, this, MHD_OPTION_NOTIFY_COMPLETED,
      &onCompleted, this, MHD_OPTION_NOTIFY_CONNECTION, &onConnection, this,
      MHD_OPTION_END);
  if (Daemon == nullptr) {
    close(Descriptor);
    return false;
  }
  // The library's own listening is not used: ending it from another thread
  // races with the library's threads and can abort the process.
  Listener = std::make_unique<AcceptLoop>(
      Descriptor,
      [this](int Accepted, const sockaddr *Address, socklen_t Size) {
        handOver(Accepted, Address, Size);
      });
  return true;
}

MhdHttpServer::~MhdHttpServer() {
  if (Daemon == nullptr)
    return;
  stopAccepting();
  closeAfterAnswers();
  {
    std::lock_guard<std::mutex> Guard(Lock);
    Stopping = true;
  }
  answerAll(plainResponse(503, "the server is stopping\n"));
  {
    std::unique_lock<std::mutex> Guard(Lock);
    AllDone.wait_for(Guard, StopLimit, [this] { return Open.empty(); });
  }
  endConnections();
  MHD_stop_daemon(Daemon);
}

void MhdHttpServer::handOver(int Accepted, const sockaddr *Address,
                             socklen_t Size) {
  {
    std::lock_guard<std::mutex> Guard(Lock);
    ++NotBegun;
  }
  if (MHD_add_connection(Daemon, Accepted, Address, Size) == MHD_YES)
    return;
  // Over its limits; the library has closed the descriptor.
  std::lock_guard<std::mutex> Guard(Lock);
  --NotBegun;
}

// The library dereferences null when it finds a request malformed while it is
// being stopped, so all connections end before.
void MhdHttpServer::endConnections() {
  std::unique_lock<std::mutex> Guard(Lock);
  Ending = true;
  for (int Descriptor : Connections)
    shutdown(Descriptor, SHUT_RD);
  AllDone.wait_for(Guard, StopLimit,
                   [this] { return Connections.empty() && NotBegun <= 0; });
}

void MhdHttpServer::onConnection(void *Cls, MHD_Connection *Connection, void **,
                                 MHD_ConnectionNotificationCode Code) {
  auto *Self = static_cast<MhdHttpServer *>(Cls);
  const MHD_ConnectionInfo *Info =
      MHD_get_connection_info(Connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  if (Info == nullptr)
    return;
  // The library closes the descriptor only after this has returned, so that no
  // other connection can have its number while it is in the set.
  std::lock_guard<std::mutex> Guard(Self->Lock);
  if (Code == MHD_CONNECTION_NOTIFY_STARTED) {
    --Self->NotBegun;
    Self->Connections.insert(Info->connect_fd);
    if (Self->Ending)
      shutdown(Info->connect_fd, SHUT_RD);
    return;
  }
  Self->Connections.erase(Info->connect_fd);
  if (Self->Connections.empty())
    Self->AllDone.notify_all();
}

void MhdHttpServer::answerAll(const HttpResponse &Response) {
  std::vector<ExchangePtr> Waiting;
  {
    std::lock_guard<std::mutex> Guard(Lock);
    Waiting.assign(Open.begin(), Open.end());
  }
  for (const ExchangePtr &E : Waiting)
    answer(*E, Response);
}

void MhdHttpServer::stopAccepting() { Listener->stop(); }

void *MhdHttpServer::onTarget(void *, const char *Target, MHD_Connection *) {
  auto *Slot = new ExchangePtr(std::make_shared<Exchange>());
  // An encoded NUL would cut the decoded path short.
  (*Slot)->MalformedTarget =
      Target[0] != '/' || absl::StrContains(Target, "%00");
  return Slot;
}

MHD_Result MhdHttpServer::onAccess(void *Cls, MHD_Connection *Connection,
                                   const char *Url, const char *Method,
                                   const char *, const char *UploadData,
                                   std::size_t *UploadSize,
                                   void **ExchangeCls) {
  auto *Self = static_cast<MhdHttpServer *>(Cls);
  const ExchangePtr &E = *static_cast<ExchangePtr *>(*ExchangeCls);
  if (!E->HeadersSeen)
    return Self->receiveHeaders(*E, Connection, Url, Method);
  if (*UploadSize != 0)
    return Self->receiveBody(*E, UploadData, *UploadSize);
  return Self->receiveEnd(E);
}

void MhdHttpServer::onCompleted(void *Cls, MHD_Connection *, void **ExchangeCls,
                                MHD_RequestTerminationCode) {
  auto *Self = static_cast<MhdHttpServer *>(Cls);
  std::unique_ptr<ExchangePtr> Slot(static_cast<ExchangePtr *>(*ExchangeCls));
  *ExchangeCls = nullptr;
  if (!Slot)
    return;
  Exchange &E = **Slot;
  {
    std::lock_guard<std::mutex> Guard(E.Lock);
    E.Connection = nullptr;
  }
  if (E.HeadersSeen)
    Self->InFlight.fetch_sub(1);
  std::lock_guard<std::mutex> Guard(Self->Lock);
  Self->Open.erase(*Slot);
  if (Self->Open.empty())
    Self->AllDone.notify_all();
}

MHD_Result MhdHttpServer::receiveHeaders(Exchange &E,
                                         MHD_Connection *Connection,
                                         const char *Url, const char *Method) {
  E.HeadersSeen = true;
  E.Connection = Connection;
  InFlight.fetch_add(1);
  E.Request.Method = Method;
  E.Request.Path = Url;
  MHD_get_connection_values_n(Connection, MHD_HEADER_KIND, &appendField,
                              &E.Request.Headers);
  MHD_get_connection_values_n(Connection, MHD_GET_ARGUMENT_KIND, &appendField,
                              &E.Request.Query);
  const std::string *Length = E.Request.Headers.find("Content-Length");
  std::uint64_t Announced = 0;
  if (Length == nullptr || !absl::SimpleAtoi(*Length, &Announced))
    return MHD_YES;
  if (Announced > DiscardFactor * Options.MaxBodyBytes)
    return queueNow(Connection, plainResponse(413, "the body is too large\n"),
                    true);
  E.Request.Body.reserve(
      std::min<std::uint64_t>(Announced, Options.MaxBodyBytes));
  return MHD_YES;
}

MHD_Result MhdHttpServer::receiveBody(Exchange &E, const char *Data,
                                      std::size_t &Size) {
  E.BodyBytes += Size;
  if (E.BodyBytes > DiscardFactor * Options.MaxBodyBytes)
    return MHD_NO;
  if (E.BodyBytes <= Options.MaxBodyBytes)
    E.Request.Body.append(Data, Size);
  Size = 0;
  return MHD_YES;
}

MHD_Result MhdHttpServer::receiveEnd(const ExchangePtr &E) {
  {
    std::lock_guard<std::mutex> Guard(E->Lock);
    if (E->State == ExchangeState::Answered)
      return queue(*E);
    if (E->State != ExchangeState::Receiving)
      return MHD_YES;
    E->State = ExchangeState::Handling;
  }
  return dispatch(E);
}

MHD_Result MhdHttpServer::dispatch(const ExchangePtr &E) {
  if (E->BodyBytes > Options.MaxBodyBytes)
    return queueNow(E->Connection,
                    plainResponse(413, "the body is too large\n"), true);
  if (E->MalformedTarget)
    return queueNow(E->Connection, plainResponse(400, "malformed target\n"),
                    true);
  {
    std::lock_guard<std::mutex> Guard(Lock);
    if (Stopping)
      return queueNow(E->Connection,
                      plainResponse(503, "the server is stopping\n"), true);
    Open.insert(E);
  }
  auto Guarded = std::make_shared<AnswerGuard>(E);
  const PeerScope Scope("serving a request", addressOf, E->Connection);
  OnRequest(std::move(E->Request),
            [Guarded = std::move(Guarded)](HttpResponse Response) {
              Guarded->give(std::move(Response));
            });
  std::lock_guard<std::mutex> Guard(E->Lock);
  if (E->State == ExchangeState::Answered)
    return queue(*E);
  E->State = ExchangeState::Suspended;
  MHD_suspend_connection(E->Connection);
  return MHD_YES;
}

MHD_Result MhdHttpServer::queue(Exchange &E) {
  HttpResponse Response = std::move(*E.Response);
  E.Response.reset();
  return queueNow(E.Connection, std::move(Response), CloseConnections.load());
}

MHD_Result MhdHttpServer::queueNow(MHD_Connection *Connection,
                                   HttpResponse Response,
                                   bool CloseConnection) {
  auto Status = static_cast<unsigned>(Response.Status);
  MHD_Response *Out = makeMhdResponse(std::move(Response), CloseConnection);
  if (Out == nullptr)
    return MHD_NO;
  MHD_Result Queued = MHD_queue_response(Connection, Status, Out);
  MHD_destroy_response(Out);
  return Queued;
}

} // namespace

Result<std::unique_ptr<HttpServer>> HttpServer::make(HttpServerOptions Options,
                                                     Handler OnRequest) {
  std::string Listen = Options.Listen;
  BOOST_LEAF_AUTO(Descriptor, openListenSocket(Listen));
  auto Server =
      std::make_unique<MhdHttpServer>(std::move(Options), std::move(OnRequest));
  if (!Server->serve(Descriptor))
    return fail(ErrorCode::Unavailable, "the HTTP server cannot start",
                std::move(Listen));
  return std::unique_ptr<HttpServer>(std::move(Server));
}

} // namespace quetzallead
