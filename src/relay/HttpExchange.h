#ifndef QUETZALLEAD_RELAY_HTTPEXCHANGE_H
#define QUETZALLEAD_RELAY_HTTPEXCHANGE_H

#include "core/http/ResponseDefect.h"
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
using HttpResponseHead = boost::beast::http::response_header<>;

/// An encoded request and how to read its response.
struct HttpExchange {
  std::string Bytes;
  /// The response to a HEAD request has no body, whatever its header says.
  bool HeadRequest = false;
  TimePoint Deadline;
  /// A request that waits for its connection until then ends with NotSent.
  TimePoint LatestStart = absl::InfiniteFuture();
  /// A response in which this header is present with a value other than
  /// EchoValue belongs to another request. Not checked if empty.
  std::string EchoHeader;
  std::string EchoValue;
  /// Bytes that such a response usually has; 0 if unknown.
  std::size_t UsualBytes = 0;
  /// Called with the head of each informational (1xx) response; may be empty.
  std::function<void(const HttpResponseHead &)> OnInformational;
  /// Called with the head of the final response before its body is complete;
  /// may be empty. Must not close the connection.
  std::function<void(const HttpResponseHead &)> OnHead;
};

/// Result of an exchange: Answered with Response, or one of NotSent, Lost,
/// TimedOut, BadReply and Cancelled without it.
struct HttpExchangeResult {
  AttemptResult Result = AttemptResult::NotSent;
  std::shared_ptr<HttpResponse> Response;
  /// Why a BadReply is one.
  ResponseDefect Defect = ResponseDefect::None;
};

using HttpExchangeCallback = std::function<void(HttpExchangeResult)>;

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_HTTPEXCHANGE_H
