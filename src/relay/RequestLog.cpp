#include "relay/RequestLog.h"
#include "relay/RelaySession.h"
#include "runtime/Logger.h"
#include <xxhash.h>

namespace quetzallead {

/// One in this many successful requests is logged, as a baseline to compare
/// failures with.
static constexpr std::uint64_t ServedLogInterval = 200;

/// True if the caller gets a usable response.
static bool isServed(const RelayResult &Verdict) {
  return Verdict.Outcome == RelayOutcome::Merged ||
         (Verdict.Outcome == RelayOutcome::Relayed &&
          Verdict.Responses[0]->Status < 500);
}

/// True for one request in ServedLogInterval. Depends on the request id alone,
/// so that all instances select the same requests.
static bool isSampled(const std::string &RequestId) {
  return XXH3_64bits(RequestId.data(), RequestId.size()) % ServedLogInterval ==
         0;
}

void logRequestEnd(const RelaySession &Session, const RelayResult &Verdict,
                   TimePoint Now) {
  const ForwardedRequest &Call = Session.call();
  const RelayRequest &Request = Session.request();
  const Route &Matched = *Request.plan().MatchedRoute;
  const auto ElapsedMs = absl::ToInt64Milliseconds(Now - Call.ArrivalTime);
  if (!isServed(Verdict)) {
    const bool Disconnected =
        Verdict.Outcome == RelayOutcome::CallerDisconnected;
    logEvent(LogLevel::Info, Disconnected ? "caller_left" : "request_failed",
             {{"request", Call.RequestId},
              {"route", Matched.Name},
              {"kind", nameOf(RequestKindNames, Matched.Kind)},
              {"outcome", nameOf(RelayOutcomeNames, Verdict.Outcome)},
              {"sheet", Session.sheetVersion()},
              {"missing", Request.describeMissing()},
              {"retry_after_ms", absl::ToInt64Milliseconds(Verdict.RetryAfter)},
              {"ms", ElapsedMs}});
    return;
  }
  if (Verdict.MissingParts > 0)
    logEvent(LogLevel::Info, "parts_missing",
             {{"request", Call.RequestId},
              {"route", Matched.Name},
              {"sheet", Session.sheetVersion()},
              {"missing", Request.describeMissing()},
              {"hedge_ms",
               absl::ToDoubleMilliseconds(Request.plan().Stats->hedgeDelay())},
              {"ms", ElapsedMs}});
  const bool Late = Now - Call.ArrivalTime > Matched.Objective;
  if (!Late && !isSampled(Call.RequestId))
    return;
  logEvent(LogLevel::Info, Late ? "request_late" : "request_served",
           {{"request", Call.RequestId},
            {"route", Matched.Name},
            {"sheet", Session.sheetVersion()},
            {"parts", Request.describeParts()},
            {"objective_ms", absl::ToInt64Milliseconds(Matched.Objective)},
            {"ms", ElapsedMs}});
}

} // namespace quetzallead
