#ifndef QUETZALLEAD_DAEMON_PROBLEM_H
#define QUETZALLEAD_DAEMON_PROBLEM_H

#include "quetzallead/NameTable.h"
#include "quetzallead/RunState.h"
#include "quetzallead/Time.h"
#include "transport/http/HttpMessage.h"
#include <string>

namespace quetzallead {

/// The problem types of the caller interface.
enum class ProblemType {
  BadRequest,
  BadSession,
  Unauthorized,
  NoSuchPath,
  NoSuchService,
  CommandInProgress,
  TicketReused,
  TicketRequired,
  Overloaded,
  Draining,
  NoSheet,
  NoReplica,
  RunUnknown,
  Deadline,
};

inline constexpr NamedValue<ProblemType> ProblemTypeNames[] = {
    {ProblemType::BadRequest, "bad-request"},
    {ProblemType::BadSession, "bad-session"},
    {ProblemType::Unauthorized, "unauthorized"},
    {ProblemType::NoSuchPath, "no-such-path"},
    {ProblemType::NoSuchService, "no-such-service"},
    {ProblemType::CommandInProgress, "command-in-progress"},
    {ProblemType::TicketReused, "ticket-reused"},
    {ProblemType::TicketRequired, "ticket-required"},
    {ProblemType::Overloaded, "overloaded"},
    {ProblemType::Draining, "draining"},
    {ProblemType::NoSheet, "no-sheet"},
    {ProblemType::NoReplica, "no-replica"},
    {ProblemType::RunUnknown, "run-unknown"},
    {ProblemType::Deadline, "deadline"},
};

/// An error answer to a caller, RFC 9457.
struct Problem {
  ProblemType Type = ProblemType::BadRequest;
  /// What to change, in one sentence.
  std::string Detail;
  RunState Run = RunState::NotRun;
  /// When to come back; zero if it would not help.
  Duration RetryAfter = absl::ZeroDuration();
};

/// HTTP status of \p Type.
int statusOf(ProblemType Type);

/// The whole response for \p P to the request \p RequestId.
HttpResponse problemResponse(const Problem &P, const std::string &RequestId);

/// Adds Retry-After, whole seconds rounded up, and Retry-After-Ms.
void addRetryAfter(HttpResponse &Response, Duration After);

} // namespace quetzallead

#endif // QUETZALLEAD_DAEMON_PROBLEM_H
