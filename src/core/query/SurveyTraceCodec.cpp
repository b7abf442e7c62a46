#include "core/base/JsonReader.h"
#include "core/base/JsonText.h"
#include "quetzallead/SurveyTrace.h"
#include <nlohmann/json.hpp>

namespace quetzallead {

using nlohmann::json;
using nlohmann::ordered_json;

static constexpr std::size_t MaxTraceBytes = std::size_t{4} << 20;
static constexpr std::size_t MaxParts = 4096;
static constexpr std::size_t MaxEvents = 65536;
static constexpr std::size_t MaxText = 1024;
static constexpr std::int64_t MaxNumber = std::int64_t{1} << 53;
/// Stands for a time that never comes.
static constexpr std::int64_t NeverMicros = -1;

static std::int64_t micros(Duration D) {
  return D == absl::InfiniteDuration() ? NeverMicros
                                       : absl::ToInt64Microseconds(D);
}

static Duration fromMicros(std::int64_t Value) {
  return Value == NeverMicros ? absl::InfiniteDuration()
                              : absl::Microseconds(Value);
}

static ordered_json writeHeld(const HeldVersions &Held) {
  return ordered_json{
      {"epoch", Held.Epoch}, {"oldest", Held.Oldest}, {"newest", Held.Newest}};
}

static HeldVersions readHeld(JsonReader Reader) {
  HeldVersions Held;
  Held.Epoch =
      static_cast<std::uint64_t>(Reader.integer("epoch", 0, MaxNumber, 0));
  Held.Oldest =
      static_cast<std::uint64_t>(Reader.integer("oldest", 0, MaxNumber, 0));
  Held.Newest =
      static_cast<std::uint64_t>(Reader.integer("newest", 0, MaxNumber, 0));
  return Held;
}

static ordered_json writePlan(const SurveyPlan &Plan) {
  ordered_json Out;
  Out["merge"] = nameOf(MergeKindNames, Plan.Kind);
  Out["order_by"] = Plan.OrderBy;
  Out["limit"] = Plan.Limit;
  Out["epoch"] = Plan.Epoch;
  Out["least_version"] = Plan.MinVersion;
  Out["deadline_us"] = micros(Plan.Deadline - absl::UnixEpoch());
  Out["coverage_deadline_us"] =
      micros(Plan.CoverageDeadline - absl::UnixEpoch());
  Out["least_coverage"] = Plan.LeastCoverage;
  Out["hedge_delay_us"] = micros(Plan.HedgeDelay);
  Out["parts"] = ordered_json::array();
  for (const PartPlan &Part : Plan.Parts) {
    ordered_json Entry;
    Entry["shard"] = Part.Shard;
    Entry["from"] = Part.From;
    Entry["to"] = Part.To;
    Entry["unusable"] = Part.Unusable;
    Entry["held"] = ordered_json::array();
    for (const HeldVersions &Held : Part.Held)
      Entry["held"].push_back(writeHeld(Held));
    Out["parts"].push_back(std::move(Entry));
  }
  return Out;
}

static SurveyPlan readPlan(JsonReader Reader) {
  SurveyPlan Plan;
  Plan.Kind = Reader.choice("merge", MergeKindNames);
  Plan.OrderBy = Reader.text("order_by", 0, MaxText);
  Plan.Limit = static_cast<std::size_t>(Reader.integer("limit", 0, MaxNumber));
  Plan.Epoch =
      static_cast<std::uint64_t>(Reader.integer("epoch", 0, MaxNumber));
  Plan.MinVersion =
      static_cast<std::uint64_t>(Reader.integer("least_version", 0, MaxNumber));
  Plan.Deadline = absl::UnixEpoch() +
                  fromMicros(Reader.integer("deadline_us", 0, MaxNumber));
  Plan.CoverageDeadline =
      absl::UnixEpoch() +
      fromMicros(Reader.integer("coverage_deadline_us", 0, MaxNumber));
  Plan.LeastCoverage = Reader.number("least_coverage", 0, 1);
  Plan.HedgeDelay =
      fromMicros(Reader.integer("hedge_delay_us", NeverMicros, MaxNumber));
  for (JsonReader &Entry : Reader.objects("parts", 1, MaxParts)) {
    PartPlan Part;
    Part.Shard = Entry.text("shard", 0, MaxText);
    Part.From = Entry.text("from", 0, MaxText);
    Part.To = Entry.text("to", 0, MaxText);
    Part.Unusable =
        static_cast<ReplicaMask>(Entry.integer("unusable", 0, MaxNumber));
    for (JsonReader &Held : Entry.objects("held", 0, MaxReplicas))
      Part.Held.push_back(readHeld(Held));
    Plan.Parts.push_back(std::move(Part));
  }
  return Plan;
}

static ordered_json writeEvent(const TraceEvent &Event) {
  ordered_json Out;
  Out["at_us"] = micros(Event.At);
  Out["event"] = nameOf(TraceEventKindNames, Event.Kind);
  switch (Event.Kind) {
  case TraceEventKind::Permit:
    Out["part"] = Event.Part;
    Out["replica"] = Event.Replica;
    break;
  case TraceEventKind::Refused:
    Out["part"] = Event.Part;
    Out["reason"] = nameOf(MissingReasonNames, Event.Reason);
    Out["retry_after_us"] = micros(Event.RetryAfter);
    break;
  case TraceEventKind::Reply:
    Out["attempt"] = Event.Attempt;
    Out["epoch"] = Event.Reply.Taken.Epoch;
    Out["version"] = Event.Reply.Taken.Version;
    Out["from"] = Event.Reply.From;
    Out["to"] = Event.Reply.To;
    Out["rows"] = Event.Reply.Rows;
    Out["count"] = Event.Reply.Count;
    Out["held"] = writeHeld(Event.Reply.Held);
    break;
  case TraceEventKind::Failure:
    Out["attempt"] = Event.Attempt;
    Out["result"] = nameOf(AttemptResultNames, Event.Result);
    Out["held"] = writeHeld(Event.Held);
    break;
  case TraceEventKind::Held:
    Out["part"] = Event.Part;
    Out["held"] = ordered_json::array();
    for (const HeldVersions &Held : Event.HeldByReplica)
      Out["held"].push_back(writeHeld(Held));
    break;
  case TraceEventKind::Timer:
    break;
  }
  return Out;
}

static TraceEvent readEvent(JsonReader &Reader) {
  TraceEvent Event;
  Event.At = fromMicros(Reader.integer("at_us", 0, MaxNumber));
  Event.Kind = Reader.choice("event", TraceEventKindNames);
  auto Number = [&](const char *Key) {
    return static_cast<std::uint64_t>(Reader.integer(Key, 0, MaxNumber));
  };
  switch (Event.Kind) {
  case TraceEventKind::Permit:
    Event.Part = Number("part");
    Event.Replica = Number("replica");
    break;
  case TraceEventKind::Refused:
    Event.Part = Number("part");
    Event.Reason = Reader.choice("reason", MissingReasonNames);
    Event.RetryAfter =
        fromMicros(Reader.integer("retry_after_us", 0, MaxNumber));
    break;
  case TraceEventKind::Reply:
    Event.Attempt = static_cast<AttemptId>(Number("attempt"));
    Event.Reply.Taken.Epoch = Number("epoch");
    Event.Reply.Taken.Version = Number("version");
    Event.Reply.From = Reader.text("from", 0, MaxText);
    Event.Reply.To = Reader.text("to", 0, MaxText);
    Event.Reply.Rows = Reader.any("rows");
    Event.Reply.Count = Number("count");
    Event.Reply.Held = readHeld(Reader.optionalObject("held"));
    break;
  case TraceEventKind::Failure:
    Event.Attempt = static_cast<AttemptId>(Number("attempt"));
    Event.Result = Reader.choice("result", AttemptResultNames);
    Event.Held = readHeld(Reader.object("held"));
    break;
  case TraceEventKind::Held:
    Event.Part = Number("part");
    for (JsonReader &Held : Reader.objects("held", 0, MaxReplicas))
      Event.HeldByReplica.push_back(readHeld(Held));
    break;
  case TraceEventKind::Timer:
    break;
  }
  return Event;
}

static ordered_json writeOutcome(const TraceOutcome &Outcome) {
  ordered_json Out;
  Out["at_us"] = micros(Outcome.At);
  Out["epoch"] = Outcome.Taken.Epoch;
  Out["version"] = Outcome.Taken.Version;
  Out["wanted"] = Outcome.Wanted;
  Out["covered"] = Outcome.Covered;
  Out["missing"] = ordered_json::array();
  for (const MissingShard &M : Outcome.Missing)
    Out["missing"].push_back(
        ordered_json{{"shard", M.Shard},
                     {"from", M.From},
                     {"to", M.To},
                     {"reason", nameOf(MissingReasonNames, M.Reason)}});
  Out["run_state"] = nameOf(RunStateNames, Outcome.Run);
  Out["rows"] = Outcome.Rows;
  Out["count"] = Outcome.Count;
  Out["attempts"] = Outcome.Attempts;
  Out["hedges"] = Outcome.Hedges;
  return Out;
}

static TraceOutcome readOutcome(JsonReader Reader) {
  TraceOutcome Outcome;
  auto Number = [&](const char *Key) {
    return static_cast<std::uint64_t>(Reader.integer(Key, 0, MaxNumber));
  };
  Outcome.At = fromMicros(Reader.integer("at_us", 0, MaxNumber));
  Outcome.Taken.Epoch = Number("epoch");
  Outcome.Taken.Version = Number("version");
  Outcome.Wanted = Number("wanted");
  Outcome.Covered = Number("covered");
  for (JsonReader &Entry : Reader.objects("missing", 0, MaxParts)) {
    MissingShard M;
    M.Shard = Entry.text("shard", 0, MaxText);
    M.From = Entry.text("from", 0, MaxText);
    M.To = Entry.text("to", 0, MaxText);
    M.Reason = Entry.choice("reason", MissingReasonNames);
    Outcome.Missing.push_back(std::move(M));
  }
  Outcome.Run = Reader.choice("run_state", RunStateNames);
  Outcome.Rows = Number("rows");
  Outcome.Count = Number("count");
  Outcome.Attempts = static_cast<int>(Number("attempts"));
  Outcome.Hedges = static_cast<int>(Number("hedges"));
  return Outcome;
}

std::string formatTrace(const SurveyTrace &Trace) {
  ordered_json Out;
  Out["title"] = Trace.Title;
  Out["plan"] = writePlan(Trace.Plan);
  Out["budget"] = Trace.Budget;
  Out["events"] = ordered_json::array();
  for (const TraceEvent &Event : Trace.Events)
    Out["events"].push_back(writeEvent(Event));
  Out["outcome"] = writeOutcome(Trace.Outcome);
  return Out.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

Result<SurveyTrace> parseTrace(absl::string_view Text) {
  JsonLimits Limits;
  Limits.MaxBytes = MaxTraceBytes;
  Result<json> Document = parseJsonText(Text, Limits);
  if (!Document)
    return Document.error();
  JsonProblem Problem;
  JsonReader Reader(Document.value(), std::string(), Problem);
  SurveyTrace Trace;
  Trace.Title = Reader.text("title", 0, MaxText);
  Trace.Plan = readPlan(Reader.object("plan"));
  Trace.Budget = Reader.number("budget", 0, 1e9);
  for (JsonReader &Event : Reader.objects("events", 0, MaxEvents))
    Trace.Events.push_back(readEvent(Event));
  Trace.Outcome = readOutcome(Reader.object("outcome"));
  Reader.finish();
  if (Problem)
    return leaf::new_error(*Problem);
  return Trace;
}

} // namespace quetzallead
