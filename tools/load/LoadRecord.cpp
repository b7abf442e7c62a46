#include "load/LoadRecord.h"
#include <nlohmann/json.hpp>

namespace quetzallead {

namespace {

std::string text(absl::string_view Name) {
  return std::string(Name.data(), Name.size());
}

} // namespace

std::string formatRecord(const LoadRecord &Record) {
  nlohmann::ordered_json Line;
  Line["seq"] = Record.Sequence;
  Line["offset_ms"] = absl::ToDoubleMilliseconds(Record.Offset);
  Line["late_ms"] = absl::ToDoubleMilliseconds(Record.Lateness);
  Line["latency_ms"] = absl::ToDoubleMilliseconds(Record.Latency);
  Line["kind"] = text(nameOf(RequestKindNames, Record.Kind));
  Line["service"] = Record.Service;
  Line["priority"] = text(nameOf(PriorityNames, Record.Urgency));
  Line["target"] = Record.Target;
  Line["status"] = Record.Status;
  Line["run_state"] = nullptr;
  if (Record.State)
    Line["run_state"] = text(nameOf(RunStateNames, *Record.State));
  Line["request_id"] = Record.RequestId;
  Line["wanted"] = Record.CoverageWanted;
  Line["covered"] = Record.CoverageCovered;
  Line["missing"] = Record.Missing;
  Line["version"] = Record.Version;
  Line["retry_after_ms"] = absl::ToDoubleMilliseconds(Record.RetryAfter);
  Line["fault"] = text(nameOf(AnswerFaultNames, Record.Fault));
  return Line.dump(-1, ' ', false,
                   nlohmann::ordered_json::error_handler_t::replace);
}

} // namespace quetzallead
