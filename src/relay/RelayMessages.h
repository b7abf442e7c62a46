#ifndef QUETZALLEAD_RELAY_RELAYMESSAGES_H
#define QUETZALLEAD_RELAY_RELAYMESSAGES_H

#include "core/relay/PartReply.h"
#include "core/relay/RelayVerdict.h"
#include "core/relay/Route.h"
#include "relay/HeaderNames.h"
#include "relay/HttpExchange.h"
#include "relay/RelayCall.h"
#include <boost/beast/http/string_body.hpp>
#include <string>

namespace quetzallead {

using HttpRequest =
    boost::beast::http::request<boost::beast::http::string_body>;

/// What the relay passes on of \p Request; moves the body out of it.
RelayCall decodeCall(HttpRequest &Request, const HeaderNames &Names,
                     TimePoint Arrived);

/// The bytes of one attempt at the backend server \p ServerId, which is told
/// to stop after \p TimeLeft.
std::string encodeAttempt(const RelayCall &Call, const HeaderNames &Names,
                          const std::string &ServerId, Duration TimeLeft);

/// What a finished exchange with a backend server means; moves the body out of
/// its response.
AttemptEnd decodeEnd(const HttpExchangeEnd &End, const HeaderNames &Names);

/// The bytes of the answer to a caller. \p Wanted is the number of records of
/// a survey's answer.
std::string encodeAnswer(const RelayVerdict &Verdict, std::size_t Wanted,
                         const HeaderNames &Names, bool HeadRequest,
                         bool KeepOpen);

/// An answer of the relay's own without a body; \p RetryAfter is left out if
/// zero.
std::string encodeOwnAnswer(unsigned Status, Duration RetryAfter,
                            bool KeepOpen);

/// An answer of the relay's own that holds metrics in the text format of
/// Prometheus.
std::string encodeMetricsAnswer(absl::string_view Text, bool KeepOpen);

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_RELAYMESSAGES_H
