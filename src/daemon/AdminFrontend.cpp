#include "daemon/AdminFrontend.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"
#include "daemon/ClusterDirectory.h"
#include "daemon/DecisionRing.h"
#include "daemon/DrainGate.h"
#include "daemon/FleetService.h"
#include "daemon/JsonResponse.h"
#include "daemon/Problem.h"
#include "daemon/SheetService.h"
#include "runtime/TimerService.h"
#include "runtime/Version.h"
#include <algorithm>
#include <nlohmann/json.hpp>
#include <openssl/crypto.h>

namespace quetzallead {

using nlohmann::json;
using nlohmann::ordered_json;

static constexpr int StatusAccepted = 202;
static constexpr int StatusUnavailable = 503;
static constexpr absl::string_view ExplainPath = "/v1/explain/";

static double millis(Duration D) { return absl::ToDoubleMilliseconds(D); }

static std::string timeText(TimePoint T) {
  return absl::FormatTime(absl::RFC3339_full, T, absl::UTCTimeZone());
}

AdminFrontend::AdminFrontend(AdminEnvironment Environment, std::string Token)
    : Env(std::move(Environment)), OperatorToken(std::move(Token)) {}

bool AdminFrontend::authorized(const HttpRequest &Request) const {
  const std::string *Field = Request.Headers.find("Authorization");
  if (Field == nullptr)
    return false;
  absl::string_view Given = *Field;
  if (!absl::ConsumePrefix(&Given, "Bearer ") ||
      Given.size() != OperatorToken.size())
    return false;
  return CRYPTO_memcmp(Given.data(), OperatorToken.data(), Given.size()) == 0;
}

void AdminFrontend::handle(const HttpRequest &Request,
                           const HttpServer::Responder &Respond) {
  const std::string &Path = Request.Path;
  if (Path == "/healthz")
    return Respond(jsonResponse({{"status", "ok"}}));
  if (Path == "/readyz")
    return Respond(readiness());
  if (!authorized(Request))
    return Respond(problemResponse(
        {ProblemType::Unauthorized, "send Authorization: Bearer TOKEN"}, ""));
  std::string Call = absl::StrCat(Request.Method, " ", Path);
  if (Call == "GET /v1/status")
    return Respond(status());
  if (Call == "GET /v1/instances")
    return Respond(instances());
  if (Call == "GET /v1/services")
    return Respond(services());
  if (Call == "GET /v1/servers")
    return Respond(servers());
  if (Call == "GET /v1/sheet")
    return Respond(Env.Sheets.current());
  if (Call == "GET /v1/sheet/status")
    return Respond(Env.Sheets.status());
  if (Call == "GET /v1/audit")
    return Respond(Env.Sheets.audit());
  if (Call == "POST /v1/sheet")
    return Env.Sheets.submit(Request.Body, Respond);
  if (Call == "POST /v1/drain") {
    Respond(jsonResponse({{"status", "draining"}}, StatusAccepted));
    return Env.RequestStop();
  }
  absl::string_view Id = Path;
  if (Request.Method == "GET" && absl::ConsumePrefix(&Id, ExplainPath))
    return Respond(explain(std::string(Id)));
  Respond(problemResponse(
      {ProblemType::NoSuchPath, absl::StrCat("no such call: ", Call)}, ""));
}

HttpResponse AdminFrontend::readiness() const {
  std::string Why;
  if (Env.Gate.draining())
    Why = "draining";
  else if (Env.Directory.view()->Revision == 0)
    Why = "no sheet is in force yet";
  if (Why.empty())
    return jsonResponse({{"status", "ready"}});
  return jsonResponse({{"status", "not_ready"}, {"reason", Why}},
                      StatusUnavailable);
}

HttpResponse AdminFrontend::status() const {
  ordered_json Body;
  Body["instance"] = Env.Options.Instance;
  Body["zone"] = Env.Options.Zone;
  Body["version"] = Version;
  Body["state"] = Env.Gate.draining() ? "draining" : "serving";
  Body["sheet_revision"] = Env.Directory.view()->Revision;
  Body["in_flight"] = Env.Gate.active();
  return jsonResponse(Body);
}

HttpResponse AdminFrontend::instances() const { return Env.Fleet.instances(); }

HttpResponse AdminFrontend::services() const {
  std::shared_ptr<const ClusterView> View = Env.Directory.view();
  ordered_json List = ordered_json::array();
  for (const auto &[Name, Service] : View->Services) {
    ordered_json Entry;
    Entry["service"] = Name;
    Entry["epoch"] = Service->Spec.Epoch;
    Entry["priority"] = nameOf(PriorityNames, Service->Spec.DefaultPriority);
    Entry["extra_attempts_left"] = Service->Stats->Budget.available();
    for (std::size_t Index = 0; Index < Service->Shards.size(); ++Index) {
      const ShardSpec &Spec = Service->Spec.Shards[Index];
      ordered_json Shard;
      Shard["shard"] = Spec.Name;
      Shard["from"] = Spec.From;
      Shard["replicas"] = Spec.Servers.size();
      Shard["queued"] = Service->Shards[Index]->queueLength();
      Entry["shards"].push_back(std::move(Shard));
    }
    List.push_back(std::move(Entry));
  }
  return jsonResponse({{"revision", View->Revision}, {"services", List}});
}

/// The present state of a server in one word, and what it rests on.
static ordered_json describeServer(const BackendServerSpec &Spec,
                                   const ServerBelief &B, TimePoint Now) {
  ordered_json Out;
  Out["server"] = Spec.Name;
  Out["zone"] = Spec.Zone;
  Out["address"] = Spec.Address;
  std::string State = "active";
  std::string Why;
  if (B.Leaving != LeavingCause::None) {
    State = "leaving";
    Why = absl::StrCat("told by ", nameOf(LeavingCauseNames, B.Leaving), " at ",
                       timeText(B.LeavingSince));
  } else if (B.NeedsProbe || Now < B.EjectedUntil) {
    State = "ejected";
    Why = absl::StrCat(B.ConsecutiveFailures, " failures in a row, until ",
                       timeText(B.EjectedUntil));
  } else if (Now < B.RampUntil) {
    State = "ramping";
  } else if (Now < B.ShedUntil) {
    State = "shedding";
  }
  Out["state"] = State;
  Out["why"] = Why;
  Out["outstanding"] = B.Outstanding;
  Out["limit"] = B.Limit;
  Out["latency_ms"] = millis(B.Latency);
  Out["reported_busy"] = B.Reported.Busy;
  Out["reported_queued"] = B.Reported.Queued;
  Out["oldest_version"] = B.Held.Oldest;
  Out["newest_version"] = B.Held.Newest;
  return Out;
}

HttpResponse AdminFrontend::servers() const {
  TimePoint Now = Env.Timers.now();
  std::shared_ptr<const ClusterView> View = Env.Directory.view();
  ordered_json List = ordered_json::array();
  for (const auto &[Name, Service] : View->Services)
    for (std::size_t Index = 0; Index < Service->Shards.size(); ++Index) {
      const ReplicaSet &Set = *Service->Shards[Index];
      for (std::size_t R = 0; R < Set.size(); ++R) {
        if (Set.removed(R))
          continue;
        ordered_json Entry = describeServer(Set.spec(R), Set.belief(R), Now);
        Entry["service"] = Name;
        Entry["shard"] = Service->Spec.Shards[Index].Name;
        List.push_back(std::move(Entry));
      }
    }
  return jsonResponse({{"servers", List}});
}

HttpResponse AdminFrontend::explain(const std::string &RequestId) const {
  std::optional<DecisionRecord> Found = Env.Decisions.find(RequestId);
  if (!Found)
    return problemResponse(
        {ProblemType::NoSuchPath,
         absl::StrCat("this instance has no record of ", RequestId)},
        RequestId);
  ordered_json Body;
  Body["request_id"] = Found->RequestId;
  Body["service"] = Found->Service;
  Body["kind"] = Found->Kind;
  Body["started"] = timeText(Found->Started);
  Body["elapsed_ms"] = millis(Found->Elapsed);
  Body["run_state"] = nameOf(RunStateNames, Found->Run);
  Body["wanted"] = Found->Wanted;
  Body["covered"] = Found->Covered;
  Body["sheet_revision"] = Found->SheetRevision;
  Body["detail"] = Found->Detail;
  Body["attempts"] = ordered_json::array();
  for (const AttemptRecord &A : Found->Attempts) {
    ordered_json Entry;
    Entry["shard"] = A.Shard;
    Entry["server"] = A.Server;
    Entry["cause"] = nameOf(AttemptCauseNames, A.Cause);
    Entry["after_ms"] = millis(A.Sent - Found->Started);
    Entry["elapsed_ms"] = millis(A.Elapsed);
    Entry["result"] =
        A.Ended ? nameOf(AttemptResultNames, A.Result) : "in_flight";
    Entry["version"] = A.Version;
    Entry["detail"] = A.Detail;
    Body["attempts"].push_back(std::move(Entry));
  }
  return jsonResponse(Body);
}

} // namespace quetzallead
