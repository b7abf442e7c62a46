#ifndef QUETZALLEAD_TRANSPORT_HTTP_HTTPSERVER_H
#define QUETZALLEAD_TRANSPORT_HTTP_HTTPSERVER_H

#include "quetzallead/Error.h"
#include "quetzallead/Time.h"
#include "transport/http/HttpMessage.h"
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace quetzallead {

/// Where and within which limits an HttpServer listens.
struct HttpServerOptions {
  /// "ip:port"; port 0 takes a free one.
  std::string Listen;
  /// Threads that serve connections.
  unsigned Threads = 2;
  /// Largest accepted body, bytes; a larger one is answered 413.
  std::size_t MaxBodyBytes = 1 << 20;
  unsigned MaxConnections = 4096;
  /// Idle time after which a connection is closed.
  Duration IdleTimeout = absl::Seconds(120);
};

/// An HTTP/1.1 server on libmicrohttpd whose answers may be given later, from
/// any thread.
class HttpServer {
public:
  /// Gives the answer to one request. Must be called exactly once; later calls
  /// are ignored. May be called on any thread, also before the handler returns.
  using Responder = std::function<void(HttpResponse)>;
  /// Called on a server thread for each whole request; must not block.
  using Handler = std::function<void(HttpRequest, Responder)>;

  /// Starts listening. Fails with Unavailable if the address cannot be bound.
  static Result<std::unique_ptr<HttpServer>> make(HttpServerOptions Options,
                                                  Handler OnRequest);
  virtual ~HttpServer() = default;

  /// The bound port.
  virtual int port() const = 0;
  /// Requests received and not yet fully answered.
  virtual int inFlight() const = 0;
  /// From now on every answer carries "Connection: close", and no new
  /// connection is accepted once stopAccepting() was called.
  virtual void closeAfterAnswers() = 0;
  virtual void stopAccepting() = 0;
};

} // namespace quetzallead

#endif // QUETZALLEAD_TRANSPORT_HTTP_HTTPSERVER_H
