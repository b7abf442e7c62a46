#ifndef QUETZALLEAD_TESTS_SUPPORT_CALLERANSWER_H
#define QUETZALLEAD_TESTS_SUPPORT_CALLERANSWER_H

#include "transport/http/HttpMessage.h"
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace quetzallead {

/// What a caller was told.
struct CallerAnswer {
  /// 0 if no whole response came.
  int Status = 0;
  nlohmann::json Body;
  std::string RequestId;
  /// "ran", "not_run" or "unknown"; empty without a response.
  std::string RunState;
  /// Session token to send next time; empty if none came.
  std::string Session;

  bool ok() const { return Status == 200; }
  /// True if every wanted shard is in the answer.
  bool complete() const;
};

CallerAnswer toCallerAnswer(const std::optional<HttpResponse> &Response);

} // namespace quetzallead

#endif // QUETZALLEAD_TESTS_SUPPORT_CALLERANSWER_H
