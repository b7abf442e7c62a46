#ifndef QUETZALLEAD_TRANSPORT_HTTP_HTTPCLIENT_H
#define QUETZALLEAD_TRANSPORT_HTTP_HTTPCLIENT_H

#include "quetzallead/NameTable.h"
#include "quetzallead/Time.h"
#include "transport/http/HttpMessage.h"
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace quetzallead {

/// How far an exchange came that got no whole response.
enum class TransferFailure {
  None,            ///< A whole response was received.
  NotSent,         ///< No byte of the body left: the server cannot have run it.
  Lost,            ///< Some bytes left and no whole response came: unknown.
  TimedOutNotSent, ///< As NotSent, by the time limit.
  TimedOut,        ///< As Lost, by the time limit.
  Cancelled,       ///< cancel() was called; see HttpOutcome::Sent.
  TooLarge,        ///< The response broke the size limit.
  BadResponse,     ///< What came is no response; see HttpOutcome::Sent.
};

inline constexpr NamedValue<TransferFailure> TransferFailureNames[] = {
    {TransferFailure::None, "none"},
    {TransferFailure::NotSent, "not_sent"},
    {TransferFailure::Lost, "lost"},
    {TransferFailure::TimedOutNotSent, "timed_out_not_sent"},
    {TransferFailure::TimedOut, "timed_out"},
    {TransferFailure::Cancelled, "cancelled"},
    {TransferFailure::TooLarge, "too_large"},
    {TransferFailure::BadResponse, "bad_response"},
};

/// A request to be sent.
struct HttpCall {
  std::string Method = "GET";
  /// "ip:port" of the server.
  std::string Address;
  /// Path with its query string, percent-encoded.
  std::string Target;
  HttpFields Headers;
  std::string Body;
  /// Limit on the whole exchange, connection set-up included.
  Duration Timeout = absl::Seconds(1);
  /// Largest accepted response body, bytes.
  std::size_t MaxResponseBytes = 4 << 20;
  /// If true the connection is not kept for reuse after this exchange unless
  /// the response echoes the request's X-Request-Id header.
  bool RequireEcho = false;
};

/// What came of a call.
struct HttpOutcome {
  TransferFailure Failure = TransferFailure::None;
  /// Valid if Failure is None.
  HttpResponse Response;
  /// Time from the start of the exchange to its end.
  Duration Elapsed;
  /// True if the server may hold the whole request, so that it may have run.
  /// For a request with a body: a byte of the body was handed to the network.
  bool Sent = false;
  /// True if the response lacks the X-Request-Id that RequireEcho asks for.
  bool EchoMismatch = false;
  /// True if a new connection had to be set up.
  bool NewConnection = false;
  /// What was wrong: the library's words, or the name of a ResponseDefect.
  std::string Detail;
};

/// An HTTP/1.1 client on libcurl's multi interface. A fixed number of threads
/// drives all exchanges; each address belongs to one thread, which keeps its
/// connections warm. A request is handed to the network at most once: the
/// library never repeats it by itself.
class HttpClient {
public:
  using CallId = std::uint64_t;
  /// Called once per call, on one of the client's threads; must not block.
  using Completion = std::function<void(HttpOutcome)>;

  struct Options {
    unsigned Threads = 2;
    /// Connections kept per thread when idle.
    unsigned MaxIdleConnections = 1024;
    /// Called on the client's threads with the address and the defect of each
    /// response that ends a call with BadResponse; may be empty.
    std::function<void(const std::string &Address, absl::string_view Defect)>
        OnBadResponse;
  };

  static std::unique_ptr<HttpClient> make(const Options &Opts);
  virtual ~HttpClient() = default;

  /// Starts \p Call. \p Done is always called: with NotSent if the call is
  /// malformed, with Cancelled at destruction. A call started from a completion
  /// during destruction is completed before start() returns.
  virtual CallId start(HttpCall Call, Completion Done) = 0;
  /// Ends a call early by closing its connection. Harmless after its end.
  virtual void cancel(CallId Id) = 0;
};

} // namespace quetzallead

#endif // QUETZALLEAD_TRANSPORT_HTTP_HTTPCLIENT_H
