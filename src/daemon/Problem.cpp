#include "daemon/Problem.h"
#include "absl/strings/str_cat.h"
#include <nlohmann/json.hpp>

namespace quetzallead {

int statusOf(ProblemType Type) {
  switch (Type) {
  case ProblemType::BadRequest:
    return 400;
  case ProblemType::BadSession:
  case ProblemType::Unauthorized:
    return 401;
  case ProblemType::NoSuchPath:
  case ProblemType::NoSuchService:
    return 404;
  case ProblemType::CommandInProgress:
    return 409;
  case ProblemType::TicketReused:
    return 422;
  case ProblemType::TicketRequired:
    return 428;
  case ProblemType::Overloaded:
    return 429;
  case ProblemType::RunUnknown:
    return 502;
  case ProblemType::Draining:
  case ProblemType::NoSheet:
  case ProblemType::NoReplica:
    return 503;
  case ProblemType::Deadline:
    return 504;
  }
  return 500;
}

void addRetryAfter(HttpResponse &Response, Duration After) {
  if (After <= absl::ZeroDuration())
    return;
  std::int64_t Millis =
      absl::ToInt64Milliseconds(absl::Ceil(After, absl::Milliseconds(1)));
  std::int64_t Seconds =
      absl::ToInt64Seconds(absl::Ceil(After, absl::Seconds(1)));
  Response.Headers.add("Retry-After", absl::StrCat(Seconds));
  Response.Headers.add("Retry-After-Ms", absl::StrCat(Millis));
}

HttpResponse problemResponse(const Problem &P, const std::string &RequestId) {
  std::string Name(nameOf(ProblemTypeNames, P.Type));
  std::string Title = Name;
  std::replace(Title.begin(), Title.end(), '-', ' ');
  nlohmann::ordered_json Body;
  Body["type"] = "urn:quetzallead:problem:" + Name;
  Body["title"] = Title;
  Body["status"] = statusOf(P.Type);
  Body["detail"] = P.Detail;
  Body["request_id"] = RequestId;
  Body["run_state"] = nameOf(RunStateNames, P.Run);
  HttpResponse Response;
  Response.Status = statusOf(P.Type);
  Response.Headers.add("Content-Type", "application/problem+json");
  Response.Headers.add("X-Request-Id", RequestId);
  addRetryAfter(Response, P.RetryAfter);
  Response.Body =
      Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return Response;
}

} // namespace quetzallead
