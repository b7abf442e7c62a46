#ifndef QUETZALLEAD_CORE_RELAY_BACKENDRESPONSE_H
#define QUETZALLEAD_CORE_RELAY_BACKENDRESPONSE_H

#include "core/http/ResponseDefect.h"
#include "quetzallead/AttemptResult.h"
#include "quetzallead/LoadReport.h"
#include "quetzallead/Time.h"
#include <memory>
#include <optional>
#include <string>

namespace quetzallead {

/// A complete HTTP response of a backend server, as forwarded to the caller.
struct BackendResponse {
  unsigned Status = 0;
  std::string Reason;
  /// End-to-end header fields, each as "Name: value\r\n".
  std::string Headers;
  std::string Body;
  /// Content-Length of the response to a HEAD request, if it had one.
  std::optional<std::uint64_t> HeadContentLength;
  /// Stamp by which the caller identifies the response; empty if it has none.
  std::string Stamp;
};

/// How one attempt of a request ended.
struct AttemptEnd {
  /// Answered for any complete response of a server that may have executed the
  /// request, whatever its status.
  AttemptResult Result = AttemptResult::Unused;
  /// Why a BadReply is one.
  ResponseDefect Defect = ResponseDefect::None;
  std::optional<LoadReport> Load;
  /// A home has passed the request back because its route does not let a second
  /// home have it.
  bool RunsOnce = false;
  /// The response; set only for Answered.
  std::shared_ptr<BackendResponse> Response;
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_BACKENDRESPONSE_H
