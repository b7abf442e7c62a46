#include "daemon/AnswerCodec.h"
#include "absl/strings/str_cat.h"
#include "daemon/Problem.h"
#include "daemon/QueryOutcome.h"
#include <algorithm>
#include <nlohmann/json.hpp>

namespace quetzallead {

using nlohmann::json;
using nlohmann::ordered_json;

/// When to come back if nothing better is known.
static constexpr Duration DefaultRetryAfter = absl::Milliseconds(100);

static ordered_json coverageOf(const Answer &A) {
  ordered_json Missing = ordered_json::array();
  for (const MissingShard &M : A.Missing) {
    ordered_json Entry;
    Entry["shard"] = M.Shard;
    Entry["from"] = M.From;
    Entry["to"] = M.To;
    Entry["reason"] = nameOf(MissingReasonNames, M.Reason);
    Missing.push_back(std::move(Entry));
  }
  ordered_json Coverage;
  Coverage["wanted"] = A.Wanted;
  Coverage["covered"] = A.Covered;
  Coverage["complete"] = A.complete();
  Coverage["missing"] = std::move(Missing);
  return Coverage;
}

static Problem nothingCovered(const QueryOutcome &Outcome) {
  const Answer &A = Outcome.Result;
  Problem P;
  P.Run = A.Run;
  P.RetryAfter = std::max(Outcome.RetryAfter, DefaultRetryAfter);
  MissingReason Reason =
      A.Missing.empty() ? MissingReason::Timeout : A.Missing.front().Reason;
  P.Type = ProblemType::NoReplica;
  if (Reason == MissingReason::Shed)
    P.Type = ProblemType::Overloaded;
  else if (Reason == MissingReason::Timeout)
    P.Type = ProblemType::Deadline;
  P.Detail = absl::StrCat("none of ", A.Wanted, " shards could be covered: ",
                          nameOf(MissingReasonNames, Reason));
  return P;
}

HttpResponse answerResponse(const std::string &RequestId,
                            const std::string &Service, MergeKind Kind,
                            const QueryOutcome &Outcome) {
  const Answer &A = Outcome.Result;
  if (A.Covered == 0)
    return problemResponse(nothingCovered(Outcome), RequestId);
  ordered_json Head;
  Head["request_id"] = RequestId;
  Head["service"] = Service;
  Head["run_state"] = nameOf(RunStateNames, RunState::Ran);
  Head["snapshot"]["epoch"] = A.Taken.Epoch;
  Head["snapshot"]["version"] = A.Taken.Version;
  Head["coverage"] = coverageOf(A);
  if (Kind == MergeKind::Count)
    Head["count"] = A.Count;
  HttpResponse Response;
  Response.Headers.add("Content-Type", "application/json");
  Response.Headers.add("X-Request-Id", RequestId);
  Response.Body =
      Head.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
  if (Kind == MergeKind::Count)
    return Response;
  Response.Body.pop_back();
  Response.Body += absl::StrCat(
      ",\"rows\":", A.Rows.dump(-1, ' ', false, json::error_handler_t::replace),
      "}");
  return Response;
}

} // namespace quetzallead
