#ifndef QUETZALLEAD_TOOLS_FAKES_FAKEEXCHANGE_H
#define QUETZALLEAD_TOOLS_FAKES_FAKEEXCHANGE_H

#include "transport/http/HttpMessage.h"
#include <string>

namespace quetzallead {

/// One request that a fake received and has yet to answer. Dropping it
/// unanswered closes its connection.
class FakeExchange {
public:
  virtual ~FakeExchange() = default;

  virtual const HttpRequest &request() const = 0;
  /// Sends \p Response and keeps the connection.
  virtual void reply(const HttpResponse &Response) = 0;
  /// Sends \p Bytes as they are; then keeps or closes the connection.
  virtual void replyRaw(std::string Bytes, bool CloseAfter) = 0;
  /// Closes the connection without a reply.
  virtual void close() = 0;
  /// True once the client closed the connection.
  virtual bool closed() const = 0;
};

/// \p Response as it travels, with its Content-Length.
std::string serializeResponse(const HttpResponse &Response);

} // namespace quetzallead

#endif // QUETZALLEAD_TOOLS_FAKES_FAKEEXCHANGE_H
