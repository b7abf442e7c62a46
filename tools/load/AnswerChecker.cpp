#include "load/AnswerChecker.h"
#include "absl/strings/numbers.h"
#include "load/LoadRecord.h"
#include "transport/http/HttpMessage.h"
#include <nlohmann/json.hpp>

namespace quetzallead {

namespace {

using nlohmann::json;

std::string stringAt(const json &Object, const char *Key) {
  const auto It = Object.find(Key);
  if (It == Object.end() || !It->is_string())
    return {};
  return It->get<std::string>();
}

std::uint64_t numberAt(const json &Object, const char *Key) {
  const auto It = Object.find(Key);
  if (It == Object.end() || !It->is_number_unsigned())
    return 0;
  return It->get<std::uint64_t>();
}

Duration retryAfterOf(const HttpResponse &Response) {
  double Value = 0;
  const std::string *Millis = Response.Headers.find("Retry-After-Ms");
  if (Millis && absl::SimpleAtod(*Millis, &Value))
    return absl::Milliseconds(Value);
  const std::string *Seconds = Response.Headers.find("Retry-After");
  if (Seconds && absl::SimpleAtod(*Seconds, &Value))
    return absl::Seconds(Value);
  return absl::ZeroDuration();
}

/// Checks the coverage object's arithmetic and collects the missing shards.
AnswerFault readCoverage(const json &Body, LoadRecord &Record,
                         absl::flat_hash_set<std::string> &Missing) {
  const auto It = Body.find("coverage");
  if (It == Body.end() || !It->is_object())
    return AnswerFault::Malformed;
  const json &Coverage = *It;
  Record.CoverageWanted = static_cast<int>(numberAt(Coverage, "wanted"));
  Record.CoverageCovered = static_cast<int>(numberAt(Coverage, "covered"));
  const auto Complete = Coverage.find("complete");
  if (Complete == Coverage.end() || !Complete->is_boolean())
    return AnswerFault::Malformed;
  const json List = Coverage.value("missing", json::array());
  if (!List.is_array())
    return AnswerFault::Malformed;
  for (const json &Entry : List) {
    const std::string Reason =
        Entry.is_object() ? stringAt(Entry, "reason") : std::string();
    if (Reason.empty())
      return AnswerFault::Malformed;
    ++Record.Missing[Reason];
    if (!Missing.insert(stringAt(Entry, "shard")).second)
      return AnswerFault::WrongCoverage;
  }
  const int Gap = Record.CoverageWanted - Record.CoverageCovered;
  const bool Adds = Gap == static_cast<int>(Missing.size());
  if (!Adds || Complete->get<bool>() != (Gap == 0))
    return AnswerFault::WrongCoverage;
  return AnswerFault::None;
}

/// Checks each row of \p Body against the answer's snapshot and coverage.
AnswerFault checkRows(const json &Body, const AnswerExpectation &Expected,
                      const LoadRecord &Record,
                      const absl::flat_hash_set<std::string> &Missing) {
  const auto Rows = Body.find("rows");
  if (Rows == Body.end())
    return AnswerFault::None;
  if (!Rows->is_array())
    return AnswerFault::Malformed;
  absl::flat_hash_set<std::string> Seen;
  absl::flat_hash_set<std::string> Shards;
  for (const json &Row : *Rows) {
    if (!Row.is_object())
      return AnswerFault::Malformed;
    if (Row.contains("version") && numberAt(Row, "version") != Record.Version)
      return AnswerFault::MixedSnapshots;
    if (!Seen.insert(Row.dump()).second)
      return AnswerFault::RepeatedRow;
    const std::string Shard = stringAt(Row, "shard");
    if (Missing.contains(Shard))
      return AnswerFault::WrongCoverage;
    if (!Shard.empty())
      Shards.insert(Shard);
    const bool Lookup = Record.Kind == RequestKind::Lookup;
    if (Lookup && Row.contains("key") && stringAt(Row, "key") != Expected.Key)
      return AnswerFault::WrongKey;
  }
  if (static_cast<int>(Shards.size()) > Record.CoverageCovered)
    return AnswerFault::WrongCoverage;
  return AnswerFault::None;
}

AnswerFault checkAnswerBody(const json &Body, const AnswerExpectation &Expected,
                            LoadRecord &Record) {
  if (stringAt(Body, "service") != Expected.Service)
    return AnswerFault::WrongService;
  const auto Snapshot = Body.find("snapshot");
  if (Snapshot == Body.end() || !Snapshot->is_object())
    return AnswerFault::Malformed;
  Record.Version = numberAt(*Snapshot, "version");
  absl::flat_hash_set<std::string> Missing;
  const AnswerFault Coverage = readCoverage(Body, Record, Missing);
  if (Coverage != AnswerFault::None)
    return Coverage;
  if (Record.Version != 0 && Record.Version < Expected.SeenVersion)
    return AnswerFault::OlderSnapshot;
  return checkRows(Body, Expected, Record, Missing);
}

/// A refusal for overload or for want of a ticket must say "not run".
bool refusesUnrun(int Status) {
  return Status == 429 || Status == 503 || Status == 428;
}

} // namespace

bool AnswerChecker::firstSight(const std::string &RequestId) {
  PosixMutexLock Guard(&Lock);
  return Ids.insert(RequestId).second;
}

void AnswerChecker::check(const AnswerExpectation &Expected,
                          const HttpResponse &Response, LoadRecord &Record) {
  Record.Status = Response.Status;
  Record.RetryAfter = retryAfterOf(Response);
  const json Body = json::parse(Response.Body, nullptr, false);
  if (!Body.is_object()) {
    Record.Fault = AnswerFault::Malformed;
    return;
  }
  Record.State = valueOf(RunStateNames, stringAt(Body, "run_state"));
  Record.RequestId = stringAt(Body, "request_id");
  const std::string *Header = Response.Headers.find("X-Request-Id");
  if (!Header || Record.RequestId != *Header)
    Record.Fault = AnswerFault::WrongId;
  else if (!firstSight(Record.RequestId))
    Record.Fault = AnswerFault::RepeatedId;
  else if (Response.Status == 200)
    Record.Fault = checkAnswerBody(Body, Expected, Record);
  else if (refusesUnrun(Response.Status) && Record.State != RunState::NotRun)
    Record.Fault = AnswerFault::WrongRunState;
}

} // namespace quetzallead
