#ifndef QUETZALLEAD_RELAY_RELAYMESSAGES_H
#define QUETZALLEAD_RELAY_RELAYMESSAGES_H

#include "core/relay/BackendResponse.h"
#include "core/relay/RelayResult.h"
#include "core/relay/Route.h"
#include "relay/ForwardedRequest.h"
#include "relay/HeaderNames.h"
#include "relay/HttpExchange.h"
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <string>

namespace quetzallead {

using HttpRequest =
    boost::beast::http::request<boost::beast::http::string_body>;

/// Header of requests and responses between instances. It never leaves the
/// tier: headers of this name from callers and backend servers are dropped.
inline constexpr char LinkHeader[] = "Quetzallead-Link";

/// Extracts from \p Request what is forwarded to backend servers. Moves the
/// body out of \p Request.
ForwardedRequest decodeRequest(HttpRequest &Request, const HeaderNames &Names,
                               TimePoint ArrivalTime);

/// Removes all header fields \p Name, regardless of case, from \p Fields, which
/// are each "Name: value\r\n"; returns their values.
std::vector<std::string> takeHeader(std::string &Fields,
                                    absl::string_view Name);

/// Encodes an attempt at the backend server \p ServerId. The request carries
/// \p TimeLeft as the time until its deadline.
std::string encodeAttempt(const ForwardedRequest &Call,
                          const HeaderNames &Names, const std::string &ServerId,
                          Duration TimeLeft);

/// Whether \p Head announces that the backend server is leaving.
bool saysLeaving(const HttpResponseHead &Head, const HeaderNames &Names);

/// How long the sender of \p Head wants no requests: the longest Retry-After of
/// a 503, in seconds. Zero if there is none, a negative time if none can be
/// read.
Duration requestedPause(const HttpResponseHead &Head);

/// How long a backend server says that it stays cold; nothing if it does not
/// say, or what it says is no number of milliseconds.
std::optional<Duration> warmUpLeft(const HttpResponseHead &Head,
                                   const HeaderNames &Names);

/// Requests per second that the sender of \p Head takes from all instances
/// together; the lowest if several are named. Empty if none is, negative if
/// none can be read.
std::optional<double> namedLimit(const HttpResponseHead &Head,
                                 const HeaderNames &Names);

/// Interprets a finished exchange with a backend server. Moves the body out of
/// the response.
AttemptEnd decodeExchangeResult(const HttpExchangeResult &End,
                                const HeaderNames &Names);

/// Extracts from \p Response what is forwarded to the caller. Moves the body
/// out of \p Response.
std::shared_ptr<BackendResponse> decodeResponse(HttpResponse &Response,
                                                const HeaderNames &Names);

/// Encodes the response to a caller. \p MaxRecords limits the records in the
/// response to a survey.
std::string encodeResponse(const RelayResult &Verdict, std::size_t MaxRecords,
                           const HeaderNames &Names, bool HeadRequest,
                           bool KeepOpen);

/// Encodes a response without a body that the relay generates itself. The
/// Retry-After header is omitted if \p RetryAfter is zero.
std::string encodeStatusResponse(unsigned Status, Duration RetryAfter,
                                 bool KeepOpen);

/// Encodes a response with \p Text, metrics in the Prometheus text format.
std::string encodeMetricsResponse(absl::string_view Text, bool KeepOpen);

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_RELAYMESSAGES_H
