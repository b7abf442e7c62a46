#ifndef QUETZALLEAD_DAEMON_CALLERREQUEST_H
#define QUETZALLEAD_DAEMON_CALLERREQUEST_H

#include "quetzallead/Error.h"
#include "quetzallead/MergeKind.h"
#include "quetzallead/Priority.h"
#include "quetzallead/Time.h"
#include <cstddef>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace quetzallead {

/// The body of a survey.
struct SurveyRequest {
  MergeKind Kind = MergeKind::Rows;
  std::string OrderBy;
  std::size_t Limit = 0;
  /// Names of the wanted shards; empty for all.
  std::vector<std::string> Shards;
  nlohmann::json Query;
  std::optional<Duration> Timeout;
};

/// The body of a lookup.
struct LookupRequest {
  std::string Key;
  nlohmann::json Query;
  std::optional<Duration> Timeout;
};

/// The body of a command.
struct CommandRequest {
  std::string Key;
  nlohmann::json Command;
  std::optional<Duration> Timeout;
};

/// Each fails with InvalidArgument; Where is the field at fault.
Result<SurveyRequest> parseSurveyRequest(const std::string &Body);
Result<LookupRequest> parseLookupRequest(const std::string &Body);
Result<CommandRequest> parseCommandRequest(const std::string &Body);

/// The priority that an RFC 9218 Priority field names, if any.
std::optional<Priority> parsePriority(const std::string *Field);

} // namespace quetzallead

#endif // QUETZALLEAD_DAEMON_CALLERREQUEST_H
