#include "absl/strings/str_cat.h"
#include "quetzallead/Survey.h"
#include "quetzallead/SurveyTrace.h"
#include <set>

namespace quetzallead {

TraceOutcome outcomeOf(const Answer &A, Duration At, int Attempts, int Hedges) {
  TraceOutcome Outcome;
  Outcome.At = At;
  Outcome.Taken = A.Taken;
  Outcome.Wanted = A.Wanted;
  Outcome.Covered = A.Covered;
  Outcome.Missing = A.Missing;
  Outcome.Run = A.Run;
  Outcome.Rows = A.Rows.is_array() ? A.Rows.size() : 0;
  Outcome.Count = A.Count;
  Outcome.Attempts = Attempts;
  Outcome.Hedges = Hedges;
  return Outcome;
}

namespace {

/// A survey under replay, and what it has asked for.
class Replay {
public:
  explicit Replay(const SurveyTrace &Trace)
      : Budget(0.0), Query(Trace.Plan, Budget) {
    // Leaves what the recorded survey could pay for.
    while (Budget.available() > Trace.Budget)
      if (!Budget.spendOnRetry(absl::UnixEpoch()))
        break;
    SurveyActions Out;
    Query.start(absl::UnixEpoch(), Out);
    note(Out);
  }

  bool finished() const { return Finished; }

  /// False if the survey did not ask for what the event answers.
  bool feed(const TraceEvent &Event) {
    TimePoint Now = absl::UnixEpoch() + Event.At;
    SurveyActions Out;
    switch (Event.Kind) {
    case TraceEventKind::Permit:
      if (Asked[Event.Part] == 0)
        return false;
      --Asked[Event.Part];
      Query.onPermit(Event.Part, Event.Replica, Now, Out);
      break;
    case TraceEventKind::Refused:
      if (Asked[Event.Part] == 0)
        return false;
      --Asked[Event.Part];
      Query.onRefused(Event.Part, Event.Reason, Event.RetryAfter, Now, Out);
      break;
    case TraceEventKind::Reply:
      if (Live.erase(Event.Attempt) == 0)
        return false;
      Query.onReply(Event.Attempt, Event.Reply, Now, Out);
      break;
    case TraceEventKind::Failure:
      if (Live.erase(Event.Attempt) == 0)
        return false;
      Query.onFailure(Event.Attempt, Event.Result, Event.Held, Now, Out);
      break;
    case TraceEventKind::Held:
      Query.learnHeld(Event.Part, Event.HeldByReplica);
      break;
    case TraceEventKind::Timer:
      Query.onTimer(Now, Out);
      break;
    }
    note(Out);
    if (Out.Finished)
      FinishedAt = Event.At;
    return true;
  }

  TraceOutcome outcome() {
    return outcomeOf(Query.takeAnswer(), FinishedAt, Attempts, Query.hedges());
  }

private:
  void note(const SurveyActions &Out) {
    for (const AcquirePermit &Ask : Out.Acquire)
      ++Asked[Ask.Part];
    for (const SendAttempt &Send : Out.Send)
      Live.insert(Send.Attempt);
    Attempts += static_cast<int>(Out.Send.size());
    Finished = Finished || Out.Finished;
  }

  RetryBudget Budget;
  Survey Query;
  std::map<std::size_t, int> Asked;
  std::set<AttemptId> Live;
  int Attempts = 0;
  bool Finished = false;
  Duration FinishedAt = absl::ZeroDuration();
};

} // namespace

Result<TraceOutcome> replayTrace(const SurveyTrace &Trace) {
  Replay R(Trace);
  for (std::size_t Index = 0; Index < Trace.Events.size(); ++Index) {
    const TraceEvent &Event = Trace.Events[Index];
    bool InRange = Event.Part < Trace.Plan.Parts.size();
    if (R.finished())
      break;
    if (!InRange || !R.feed(Event))
      return fail(ErrorCode::Conflict,
                  absl::StrCat("the survey did not ask for what this ",
                               nameOf(TraceEventKindNames, Event.Kind),
                               " answers"),
                  absl::StrCat("events[", Index, "]"));
  }
  if (!R.finished())
    return fail(ErrorCode::Conflict, "the survey did not finish", "events");
  return R.outcome();
}

static std::string describeMissing(const std::vector<MissingShard> &Missing) {
  std::string Text;
  for (const MissingShard &M : Missing)
    absl::StrAppend(&Text, M.Shard, "[", M.From, ",", M.To,
                    "):", nameOf(MissingReasonNames, M.Reason), " ");
  return Text;
}

std::vector<std::string> outcomeDifferences(const TraceOutcome &Stated,
                                            const TraceOutcome &Got) {
  std::vector<std::string> Out;
  auto Compare = [&](const char *What, const auto &A, const auto &B) {
    if (!(A == B))
      Out.push_back(absl::StrCat(What, ": stated ", A, ", got ", B));
  };
  Compare("finished at", absl::FormatDuration(Stated.At),
          absl::FormatDuration(Got.At));
  Compare("epoch", Stated.Taken.Epoch, Got.Taken.Epoch);
  Compare("version", Stated.Taken.Version, Got.Taken.Version);
  Compare("wanted", Stated.Wanted, Got.Wanted);
  Compare("covered", Stated.Covered, Got.Covered);
  Compare("missing", describeMissing(Stated.Missing),
          describeMissing(Got.Missing));
  Compare("run state", nameOf(RunStateNames, Stated.Run),
          nameOf(RunStateNames, Got.Run));
  Compare("rows", Stated.Rows, Got.Rows);
  Compare("count", Stated.Count, Got.Count);
  Compare("attempts", Stated.Attempts, Got.Attempts);
  Compare("hedges", Stated.Hedges, Got.Hedges);
  return Out;
}

} // namespace quetzallead
