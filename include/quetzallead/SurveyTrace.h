#ifndef QUETZALLEAD_SURVEYTRACE_H
#define QUETZALLEAD_SURVEYTRACE_H

#include "absl/strings/string_view.h"
#include "quetzallead/Answer.h"
#include "quetzallead/AttemptResult.h"
#include "quetzallead/Error.h"
#include "quetzallead/SubReply.h"
#include "quetzallead/SurveyActions.h"
#include "quetzallead/SurveyPlan.h"
#include <string>
#include <vector>

namespace quetzallead {

/// What was fed to a survey.
enum class TraceEventKind { Permit, Refused, Reply, Failure, Timer, Held };

inline constexpr NamedValue<TraceEventKind> TraceEventKindNames[] = {
    {TraceEventKind::Permit, "permit"}, {TraceEventKind::Refused, "refused"},
    {TraceEventKind::Reply, "reply"},   {TraceEventKind::Failure, "failure"},
    {TraceEventKind::Timer, "timer"},   {TraceEventKind::Held, "held"},
};

/// One event of a recorded survey; the fields of its kind are set.
struct TraceEvent {
  /// Since the request was received.
  Duration At;
  TraceEventKind Kind = TraceEventKind::Timer;
  std::size_t Part = 0;
  std::size_t Replica = 0;
  AttemptId Attempt = 0;
  MissingReason Reason = MissingReason::Timeout;
  Duration RetryAfter = absl::ZeroDuration();
  AttemptResult Result = AttemptResult::Unused;
  HeldVersions Held;
  SubReply Reply;
  std::vector<HeldVersions> HeldByReplica;
};

/// What a survey came to.
struct TraceOutcome {
  Duration At = absl::ZeroDuration();
  Snapshot Taken;
  std::size_t Wanted = 0;
  std::size_t Covered = 0;
  std::vector<MissingShard> Missing;
  RunState Run = RunState::NotRun;
  std::size_t Rows = 0;
  std::uint64_t Count = 0;
  int Attempts = 0;
  int Hedges = 0;
};

/// A survey as it was run: its plan, what it was fed, and its outcome. Times of
/// the plan are relative to the UNIX epoch.
struct SurveyTrace {
  /// What the trace shows.
  std::string Title;
  SurveyPlan Plan;
  /// Extra attempts that could be paid for at the start.
  double Budget = 0;
  std::vector<TraceEvent> Events;
  TraceOutcome Outcome;
};

/// One line of JSON.
std::string formatTrace(const SurveyTrace &Trace);
/// Reads formatTrace()'s text. Fails with InvalidArgument.
Result<SurveyTrace> parseTrace(absl::string_view Text);

/// Feeds the events of \p Trace to a new survey. Fails with Conflict if the
/// survey does not do what the events answer, or does not finish.
Result<TraceOutcome> replayTrace(const SurveyTrace &Trace);

/// One sentence per difference between two outcomes; none if they are equal.
std::vector<std::string> outcomeDifferences(const TraceOutcome &Stated,
                                            const TraceOutcome &Got);

/// The outcome that \p A, given at \p At, states.
TraceOutcome outcomeOf(const Answer &A, Duration At, int Attempts, int Hedges);

} // namespace quetzallead

#endif // QUETZALLEAD_SURVEYTRACE_H
