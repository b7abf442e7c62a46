#ifndef QUETZALLEAD_RELAY_HTTPEXCHANGE_H
#define QUETZALLEAD_RELAY_HTTPEXCHANGE_H

#include "quetzallead/AttemptResult.h"
#include "quetzallead/Time.h"
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <string>

namespace quetzallead {

using HttpResponse =
    boost::beast::http::response<boost::beast::http::string_body>;

/// One request that goes out on a connection, as bytes.
struct HttpExchange {
  std::string Bytes;
  /// The answer to a HEAD request has no body, whatever its header says.
  bool HeadRequest = false;
  TimePoint Deadline;
  /// An answer that carries this header with another value than EchoValue
  /// belongs to another request. Not checked if empty.
  std::string EchoHeader;
  std::string EchoValue;
};

/// How an exchange ended: Answered with Response, or NotSent, Lost, TimedOut,
/// BadReply or Cancelled.
struct HttpExchangeEnd {
  AttemptResult Result = AttemptResult::NotSent;
  std::shared_ptr<HttpResponse> Response;
};

using HttpExchangeDone = std::function<void(HttpExchangeEnd)>;

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_HTTPEXCHANGE_H
