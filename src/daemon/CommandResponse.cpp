#include "daemon/CommandResponse.h"
#include "daemon/JsonResponse.h"
#include "daemon/Problem.h"
#include <nlohmann/json.hpp>

namespace quetzallead {

using nlohmann::json;
using nlohmann::ordered_json;

static constexpr Duration ShortRetryAfter = absl::Milliseconds(100);
static constexpr Duration OverloadRetryAfter = absl::Seconds(1);

static Problem problemOf(const CommandAnswer &Answer) {
  switch (Answer.Status) {
  case CommandStatus::InProgress:
    return {ProblemType::CommandInProgress,
            "the same command is being run; ask again with the same ticket",
            Answer.State, ShortRetryAfter};
  case CommandStatus::TicketReused:
    return {ProblemType::TicketReused,
            "the ticket was spent on another command", Answer.State};
  case CommandStatus::TicketRequired:
    return {ProblemType::TicketRequired,
            "send the ticket that is attached here as Idempotency-Key",
            Answer.State};
  case CommandStatus::TicketExpired:
    return {ProblemType::TicketRequired,
            "the ticket has expired; a new one is attached", Answer.State};
  case CommandStatus::Overloaded:
    return {ProblemType::Overloaded,
            "the ticket's instance cannot take another command now",
            Answer.State, OverloadRetryAfter};
  case CommandStatus::Draining:
    return {ProblemType::Draining, "the ticket's instance is stopping",
            Answer.State, ShortRetryAfter};
  case CommandStatus::NoReplica:
    return {ProblemType::NoReplica, "no backend server took the command",
            Answer.State, ShortRetryAfter};
  case CommandStatus::Deadline:
    return {ProblemType::Deadline,
            "the time was up before a backend server took the command",
            Answer.State, ShortRetryAfter};
  case CommandStatus::Answered:
  case CommandStatus::RunUnknown:
    break;
  }
  return {ProblemType::RunUnknown,
          "the command may have run; it will not be repeated", Answer.State};
}

/// The number \p Key of a server's reply; 0 if it is none.
static std::uint64_t numberOf(const json &Reply, const char *Key) {
  if (!Reply.is_object())
    return 0;
  auto Found = Reply.find(Key);
  return Found != Reply.end() && Found->is_number_unsigned()
             ? Found->get<std::uint64_t>()
             : 0;
}

HttpResponse commandResponse(const std::string &RequestId,
                             const std::string &Service,
                             const std::string &Shard,
                             const CommandAnswer &Answer) {
  if (Answer.Status != CommandStatus::Answered) {
    HttpResponse Response = problemResponse(problemOf(Answer), RequestId);
    if (!Answer.FreshTicket.empty())
      Response.Headers.add("Quetzallead-Ticket", Answer.FreshTicket);
    return Response;
  }
  json Reply = json::parse(Answer.Body, nullptr, /*allow_exceptions=*/false);
  ordered_json Body;
  Body["request_id"] = RequestId;
  Body["service"] = Service;
  Body["run_state"] = nameOf(RunStateNames, Answer.State);
  Body["snapshot"]["epoch"] = numberOf(Reply, "epoch");
  Body["snapshot"]["version"] = numberOf(Reply, "version");
  Body["coverage"]["wanted"] = 1;
  Body["coverage"]["covered"] = 1;
  Body["coverage"]["complete"] = true;
  Body["coverage"]["missing"] = ordered_json::array();
  bool HasRows = Reply.is_object() && Reply.contains("rows");
  Body["rows"] = HasRows ? Reply["rows"] : json::array();
  Body["shard"] = Shard;
  HttpResponse Response = jsonResponse(Body);
  Response.Headers.add("X-Request-Id", RequestId);
  return Response;
}

} // namespace quetzallead
