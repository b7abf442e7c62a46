#ifndef QUETZALLEAD_TESTS_SUPPORT_FETCH_H
#define QUETZALLEAD_TESTS_SUPPORT_FETCH_H

#include "quetzallead/Time.h"
#include "transport/http/HttpMessage.h"
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace quetzallead {

/// One blocking HTTP call of a test.
struct FetchCall {
  std::string Method = "GET";
  /// "ip:port".
  std::string Address;
  std::string Target;
  HttpFields Headers;
  std::string Body;
  Duration Timeout = absl::Seconds(30);
};

/// Makes the call on a connection of its own. Nothing if no whole response
/// came.
std::optional<HttpResponse> fetch(const FetchCall &Call);

/// Sends a GET, or a POST of \p Body. The JSON of a 2xx response; null
/// otherwise.
nlohmann::json getJson(const std::string &Address, const std::string &Target);
nlohmann::json postJson(const std::string &Address, const std::string &Target,
                        const nlohmann::json &Body);

/// The JSON of a body; "discarded" if it is none.
nlohmann::json bodyOf(const HttpResponse &Response);

} // namespace quetzallead

#endif // QUETZALLEAD_TESTS_SUPPORT_FETCH_H
