#include "support/CallerAnswer.h"
#include "support/Fetch.h"

namespace quetzallead {

static std::string fieldOf(const HttpResponse &Response, const char *Name) {
  const std::string *Value = Response.Headers.find(Name);
  return Value == nullptr ? std::string() : *Value;
}

bool CallerAnswer::complete() const {
  return ok() && Body.is_object() && Body.contains("coverage") &&
         Body["coverage"].value("complete", false);
}

CallerAnswer toCallerAnswer(const std::optional<HttpResponse> &Response) {
  CallerAnswer Answer;
  if (!Response)
    return Answer;
  Answer.Status = Response->Status;
  Answer.Body = bodyOf(*Response);
  Answer.RequestId = fieldOf(*Response, "X-Request-Id");
  Answer.Session = fieldOf(*Response, "Quetzallead-Session");
  if (Answer.Body.is_object())
    Answer.RunState = Answer.Body.value("run_state", "");
  return Answer;
}

} // namespace quetzallead
